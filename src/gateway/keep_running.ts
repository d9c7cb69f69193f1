/** Runs loops that must not end. */
import type { Milliseconds } from "../util/units.ts";
import { type Clock, sleep } from "./clock.ts";

/** Delay before a loop that failed is started again. */
const RESTART_DELAY_MS: Milliseconds = 500;

/**
 * Runs a loop until it returns; starts it again after an error, which goes to
 * the process's handler of uncaught errors. Without this, one error would leave
 * a host that serves with state that is never updated again.
 */
export async function keepRunning(
  loop: () => Promise<void>,
  { clock, onError = throwUncaught }: {
    readonly clock: Clock;
    readonly onError?: (error: unknown) => void;
  },
): Promise<void> {
  for (;;) {
    try {
      return await loop();
    } catch (error) {
      onError(error);
    }
    await sleep(clock, RESTART_DELAY_MS);
  }
}

function throwUncaught(error: unknown): void {
  setImmediate(() => {
    throw error;
  });
}
