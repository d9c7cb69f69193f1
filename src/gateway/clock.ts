/** Time as the gateway's parts get it; tests give a virtual one. */
import type { Milliseconds } from "../util/units.ts";

/** A monotonic clock with timers. */
export type Clock = {
  now(): Milliseconds;
  /** Calls `work` once after `delayMs`; the result cancels it. */
  after(delayMs: Milliseconds, work: () => void): () => void;
};

/** The process's own clock. */
export const systemClock: Clock = {
  now: () => performance.now(),
  after: (delayMs, work) => {
    const timer = setTimeout(work, Math.max(0, delayMs));
    return () => clearTimeout(timer);
  },
};

/** Resolves after a time. */
export function sleep(clock: Clock, delayMs: Milliseconds): Promise<void> {
  return new Promise((resolve) => {
    clock.after(delayMs, resolve);
  });
}
