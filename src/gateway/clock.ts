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

/** Node.js fires a timer with a longer delay at once. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The clock of this process. */
export const systemClock: Clock = {
  now: () => performance.now(),
  after: (delayMs, callback) => {
    const timerMs = Math.min(MAX_TIMER_MS, Math.max(0, delayMs));
    const timer = setTimeout(callback, timerMs);
    return () => clearTimeout(timer);
  },
};

/** Resolves after `delayMs`. */
export function sleep(clock: Clock, delayMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}
