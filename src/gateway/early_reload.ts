/**
 * Handles a SIGHUP that arrives while the program is still loading, which would
 * otherwise end the process. Must be imported and called before everything
 * else.
 */

type ReloadHandler = () => void;

let handler: ReloadHandler | undefined;
let isReloadPending = false;

/** Installs the SIGHUP handler and defers reloads until {@link onReload}. */
export function deferReloads(): void {
  process.on("SIGHUP", () => {
    if (handler) handler();
    else isReloadPending = true;
  });
}

/** Calls `callback` on each SIGHUP, and at once if a reload was deferred. */
export function onReload(callback: ReloadHandler): void {
  handler = callback;
  if (!isReloadPending) return;
  isReloadPending = false;
  callback();
}
