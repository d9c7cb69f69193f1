/**
 * What a planner granted of each customer's requests lately. While no planner
 * responds, a host grants the same part, so that a customer that was held to
 * its share doesn't flood the service then.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import { DecayingSum } from "./decaying_sum.ts";

/** Time constant of the counts. */
const WINDOW_MS = 2000;
/** Time after the last decision of a planner for which its ratio is used. */
const KEEP_MS = 5000;
/** Requests of a customer that are granted at least, as a share. */
const MIN_RATIO = 0.05;
/** Maximum number of customers on record. */
const MAX_CUSTOMERS = 1000;

type Counts = {
  readonly granted: DecayingSum;
  readonly refused: DecayingSum;
  decidedAt: Milliseconds;
};

/** A customer of a service. */
export type ServiceCustomer = {
  readonly service: string;
  readonly customer: string;
};

/** Counts of the decisions about this host's requests. */
export class LastRatios {
  readonly #counts = new Map<string, Counts>();

  /** Counts a planner's decision. */
  note(
    of: ServiceCustomer,
    isGranted: boolean,
    now: Milliseconds,
  ): void {
    const key = keyOf(of);
    const counts = this.#counts.get(key) ?? {
      granted: new DecayingSum(),
      refused: new DecayingSum(),
      decidedAt: now,
    };
    // The customers that sent nothing for the longest time come first.
    this.#counts.delete(key);
    this.#counts.set(key, counts);
    evictOldest(this.#counts, MAX_CUSTOMERS);
    const sum = isGranted ? counts.granted : counts.refused;
    sum.add(1, now, WINDOW_MS);
    counts.decidedAt = now;
  }

  /** The share of the customer's requests to grant without a planner. */
  ratioOf(of: ServiceCustomer, now: Milliseconds): number {
    const counts = this.#counts.get(keyOf(of));
    if (!counts || now - counts.decidedAt > KEEP_MS) return 1;
    const granted = counts.granted.at(counts.decidedAt, WINDOW_MS);
    const refused = counts.refused.at(counts.decidedAt, WINDOW_MS);
    return Math.max(MIN_RATIO, granted / (granted + refused));
  }
}

function keyOf({ service, customer }: ServiceCustomer): string {
  return JSON.stringify([service, customer]);
}
