/** The measure of what a quota bounds. */

/** Most units that were used in any window. */
export function mostInWindow(
  grants: readonly { readonly at: number; readonly units: number }[],
  windowMs: number,
): number {
  const sorted = [...grants].sort((a, b) => a.at - b.at);
  let sum = 0;
  let most = 0;
  let oldest = 0;
  for (const { at, units } of sorted) {
    sum += units;
    while ((sorted[oldest]?.at ?? at) < at - windowMs) {
      sum -= sorted[oldest++]?.units ?? 0;
    }
    most = Math.max(most, sum);
  }
  return most;
}
