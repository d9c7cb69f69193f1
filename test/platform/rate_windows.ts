/** Counts of a replica's requests in a sliding window. */

/** Length of the window over which tests check a rate limit. */
export const LIMIT_WINDOW_MS = 4000;

/**
 * Maximum number of requests that all hosts together may send in the window.
 */
export function maxAllowed(perSecond: number): number {
  return 1.5 * perSecond * LIMIT_WINDOW_MS / 1000 + 5;
}

/** The largest number of `times` that lie within any window of `windowMs`. */
export function maxWithin(times: readonly number[], windowMs: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  let start = 0;
  let max = 0;
  for (const [at, time] of sorted.entries()) {
    while ((sorted[start] ?? time) < time - windowMs) start += 1;
    max = Math.max(max, at - start + 1);
  }
  return max;
}
