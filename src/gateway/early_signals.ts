/**
 * Handles the signals of a process that is still loading its program; without a
 * handler they would end it. Must be called before everything else is loaded,
 * so this module imports nothing.
 */

type SignalHandler = () => void;

/** The process whose signals are handled. */
export type SignalledProcess = Pick<NodeJS.Process, "on" | "exit">;

/** What the program does on signals. */
export type ProcessSignals = {
  /** Calls `callback` on each SIGHUP, and at once if one was deferred. */
  onReload(callback: SignalHandler): void;
  /** Calls `callback` once, on the first SIGTERM or SIGINT from now on. */
  onStop(callback: SignalHandler): void;
};

const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/**
 * Installs the handlers. Defers reloads until the program handles them; until
 * it handles stop signals, they exit with 0, since nothing has been accepted.
 */
export function handleSignals(
  target: SignalledProcess = process,
): ProcessSignals {
  let reload: SignalHandler | undefined;
  let isReloadPending = false;
  let stop: SignalHandler = () => target.exit(0);
  let isStopping = false;
  target.on("SIGHUP", () => {
    if (reload) reload();
    else isReloadPending = true;
  });
  for (const signal of STOP_SIGNALS) {
    target.on(signal, () => {
      if (isStopping) return;
      isStopping = true;
      stop();
    });
  }
  return {
    onReload: (callback) => {
      reload = callback;
      if (!isReloadPending) return;
      isReloadPending = false;
      callback();
    },
    onStop: (callback) => {
      stop = callback;
    },
  };
}
