/** Reads the clock on behalf of the core. */

/** Returns the monotonic time in milliseconds. */
export function monotonicNow(): number {
  return performance.now();
}

/** Returns a number that increases with each start of a host's process. */
export function newIncarnation(): number {
  return Date.now();
}
