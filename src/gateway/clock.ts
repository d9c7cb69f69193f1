/**
 * The clock and timers of the gateway; tests replace them by a virtual clock.
 */
import type { Milliseconds } from "../util/units.ts";

/** A monotonic clock with timers. */
export type Clock = {
  now(): Milliseconds;
  /**
   * Calls `callback` once after `delayMs`; returns a function that cancels it.
   */
  after(delayMs: Milliseconds, callback: () => void): () => void;
};

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  after: (delayMs, callback) => {
    const timer = setTimeout(callback, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};

/** Resolves after `delayMs`. */
export function sleep(clock: Clock, delayMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}
