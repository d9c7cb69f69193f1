/** How many requests a replica got within a span that slides. */

/** The span over which a limit is judged, in milliseconds. */
export const LIMIT_SPAN_MS = 4000;

/** Most requests of a replica with a limit within the span, over all hosts. */
export function mostAllowed(perSecond: number): number {
  return 1.5 * perSecond * LIMIT_SPAN_MS / 1000 + 5;
}

/** The most of `times` that lie within any span of `spanMs`. */
export function mostWithin(times: readonly number[], spanMs: number): number {
  const sorted = [...times].sort((a, b) => a - b);
  let first = 0;
  let most = 0;
  for (const [at, time] of sorted.entries()) {
    while ((sorted[first] ?? time) < time - spanMs) first += 1;
    most = Math.max(most, at - first + 1);
  }
  return most;
}
