/**
 * Shares the rate of a service whose replicas all limit their requests: the
 * urgent go first, and those that are refused come back one after the other.
 */
import type { Milliseconds } from "../../util/units.ts";
import { RecentSum } from "./recent_sum.ts";

/** Rates are those of about this time. */
const RECENT_MS = 4000;
/**
 * Part of the rate that the less urgent have however many more urgent requests
 * come, so that no kind of request gets nothing at all.
 */
const LEAST_SHARE = 0.1;
/**
 * Callers that are refused together come back over this part of the longest
 * time that they heed.
 */
const SPREAD = 0.33;

/** A request that is refused. */
export type RefusedAsk = {
  /** Requests a second that the service takes. */
  readonly perSecond: number;
  /** Time until a replica takes a request again. */
  readonly soonestMs: Milliseconds;
  /** Longest time to come back that its caller heeds. */
  readonly longestRetryMs: Milliseconds;
};

/** The rate of one service. */
export class RateShare {
  readonly #random: () => number;
  /** Requests that asked, and that were given a place, by priority. */
  readonly #asked = new Map<number, RecentSum>();
  readonly #given = new Map<number, RecentSum>();
  /** When the last one that was refused comes back. */
  #promisedAt: Milliseconds = 0;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** A request asks for a place. */
  noteAsk(priority: number, now: Milliseconds): void {
    sumOf(this.#asked, priority).add(1, now, RECENT_MS);
  }

  /** A request is given a place. */
  noteGrant(priority: number, now: Milliseconds): void {
    sumOf(this.#given, priority).add(1, now, RECENT_MS);
  }

  /** Whether more urgent requests leave some of the rate to the priority. */
  mayTake(priority: number, perSecond: number, now: Milliseconds): boolean {
    const urgent = rateOf(this.#asked, (one) => one < priority, now);
    if (urgent === 0) return true;
    const left = Math.max(perSecond * LEAST_SHARE, perSecond - urgent);
    return rateOf(this.#given, (one) => one >= priority, now) < left;
  }

  /** When a refused request is to come back: each has a turn of its own. */
  comeBackMs(refused: RefusedAsk, now: Milliseconds): Milliseconds {
    const { perSecond, soonestMs, longestRetryMs } = refused;
    const at = Math.max(now + soonestMs, this.#promisedAt + 1000 / perSecond);
    if (at > now + longestRetryMs) {
      return longestRetryMs * (1 - this.#random() * SPREAD);
    }
    this.#promisedAt = at;
    return at - now;
  }
}

function sumOf(sums: Map<number, RecentSum>, priority: number): RecentSum {
  const known = sums.get(priority);
  if (known) return known;
  const sum = new RecentSum();
  sums.set(priority, sum);
  return sum;
}

/** Requests a second of the priorities that `isMeant` picks. */
function rateOf(
  sums: ReadonlyMap<number, RecentSum>,
  isMeant: (priority: number) => boolean,
  now: Milliseconds,
): number {
  let sum = 0;
  for (const [priority, one] of sums) {
    if (isMeant(priority)) sum += one.at(now, RECENT_MS);
  }
  return sum / (RECENT_MS / 1000);
}
