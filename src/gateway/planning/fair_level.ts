/** Divides a capacity max-min fairly by water-filling. */

/** What one party asks for. */
export type WeightedDemand = {
  /** Positive. */
  readonly weight: number;
  /** May be Infinity. */
  readonly amount: number;
};

/**
 * The amount per unit of weight up to which demands are met, so that together
 * they use the capacity; Infinity if all are met in full.
 */
export function fairLevel(
  demands: Iterable<WeightedDemand>,
  capacity: number,
): number {
  const ascending = [...demands].sort((a, b) =>
    a.amount / a.weight - b.amount / b.weight
  );
  let weights = ascending.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = Math.max(0, capacity);
  for (const { weight, amount } of ascending) {
    if (amount * weights > remaining * weight) return remaining / weights;
    remaining -= amount;
    weights -= weight;
  }
  return Infinity;
}
