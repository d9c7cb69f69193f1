/** The only place that reads clocks for the core. */

/** Monotonic time in milliseconds. */
export function monotonicNow(): number {
  return performance.now();
}

/** A number that rises with each start of a process on a host. */
export function newIncarnation(): number {
  return Date.now();
}
