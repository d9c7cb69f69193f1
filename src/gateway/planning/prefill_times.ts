/** Prefill times over the prefill replicas of a service. */
import type { Line } from "../../util/line_fit.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import { minBy } from "./order.ts";

/** The prefill time of the fastest replica, as a line over prompt tokens. */
export function fastestLine(
  ledger: Ledger,
  prefills: readonly ReplicaEntry[],
): Line {
  const lines = prefills.map((replica) =>
    ledger.prefillLineOf(replica.incarnation)
  );
  return minBy(lines, (line) => line.slope) ?? { base: 0, slope: 0 };
}

/** Prompt tokens that all replicas together process per millisecond. */
export function totalPrefillRate(
  ledger: Ledger,
  prefills: readonly ReplicaEntry[],
): number {
  return prefills.reduce(
    (rate, replica) =>
      rate + 1 / ledger.prefillLineOf(replica.incarnation).slope,
    0,
  );
}
