/** How long prefills take, over the prefill replicas of a service. */
import type { Milliseconds } from "../../core/ids.ts";
import type { Line } from "../../core/util/line_fit.ts";
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

/** Time until all of them together have read what they were given and more. */
export function readingMs(
  ledger: Ledger,
  prefills: readonly ReplicaEntry[],
  moreTokens: number,
): Milliseconds {
  if (prefills.length === 0) return 0;
  let given = moreTokens;
  let rate = 0;
  for (const { incarnation } of prefills) {
    given += ledger.promptsAt(incarnation);
    rate += 1 / ledger.lineOf(incarnation).slope;
  }
  return given / rate;
}
