/** How long prefills take, over the prefill replicas of a service. */
import type { Line } from "../../util/line_fit.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import { least } from "./order.ts";

/** The times of the fastest of the prefill replicas. */
export function usualLine(
  ledger: Ledger,
  prefills: readonly ReplicaEntry[],
): Line {
  const lines = prefills.map((one) => ledger.lineOf(one.incarnation));
  return least(lines, (line) => line.slope) ?? { base: 0, slope: 0 };
}

/** Prompt tokens that all of them together read in a millisecond. */
export function readingRate(
  ledger: Ledger,
  prefills: readonly ReplicaEntry[],
): number {
  return prefills.reduce(
    (rate, one) => rate + 1 / ledger.lineOf(one.incarnation).slope,
    0,
  );
}
