/**
 * Keeps a SIGHUP that comes while the program is still loading: without a
 * handler it would end the process. Imported and called before all else.
 */

type Work = () => void;

let reload: Work | undefined;
let isPending = false;

/** From now on SIGHUP ends nothing. */
export function keepReloads(): void {
  process.on("SIGHUP", () => {
    if (reload) reload();
    else isPending = true;
  });
}

/** Does `work` at each SIGHUP, and at once when one was kept. */
export function onReload(work: Work): void {
  reload = work;
  if (!isPending) return;
  isPending = false;
  work();
}
