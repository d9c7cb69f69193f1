/** A gauge with one value for each data hall. */
import type { LabelledGauge } from "./metrics.ts";

/** Sums the values of all items of each hall. */
export function hallGauge(
  name: string,
  items: readonly { readonly hall: string; readonly value: number }[],
): LabelledGauge {
  const byHall = new Map<string, number>();
  for (const { hall, value } of items) {
    byHall.set(hall, (byHall.get(hall) ?? 0) + value);
  }
  return {
    name,
    values: [...byHall].map(([hall, value]) => ({ labels: { hall }, value })),
  };
}
