/** Compares the expected time at a replica with what is usual in its pool. */
import type { Milliseconds } from "../../util/units.ts";

/** Ratios up to this are taken for noise of the estimates. */
const INSIGNIFICANT_RATIO = 1.25;

/**
 * The ratio of two expected times; 1 if they are about equal, so that other
 * criteria decide.
 */
export function significantRatio(
  timeMs: Milliseconds,
  usualMs: Milliseconds,
): number {
  if (!(timeMs > 0) || !(usualMs > 0)) return 1;
  const ratio = timeMs / usualMs;
  const isSignificant = ratio > INSIGNIFICANT_RATIO ||
    ratio < 1 / INSIGNIFICANT_RATIO;
  return isSignificant ? ratio : 1;
}

/** The mean; 0 if there are no values. */
export function meanOf(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return sum / Math.max(1, values.length);
}
