/**
 * Shares the rate of a service whose replicas all limit their requests: more
 * urgent requests go first, and refused requests get retry times one after the
 * other.
 */
import type { Milliseconds } from "../../util/units.ts";
import { DecayingSum } from "./decaying_sum.ts";

/** Time constant of the measured rates. */
const RATE_WINDOW_MS = 4000;
/**
 * Share of the rate that is left to less urgent requests however many more
 * urgent ones arrive, so that no priority is starved.
 */
const MIN_SHARE = 0.1;
/**
 * Retry times beyond the longest accepted delay are spread over this share of
 * it.
 */
const RETRY_JITTER = 0.33;

/** A request that is refused. */
export type RateRefusal = {
  /** Requests per second that the service accepts. */
  readonly perSecond: number;
  /** Time until a replica accepts a request again. */
  readonly minWaitMs: Milliseconds;
  /** Longest retry delay that its caller accepts. */
  readonly longestRetryMs: Milliseconds;
};

/** Tracks the request rate of one service. */
export class RateShare {
  readonly #random: () => number;
  /** Requests received and requests granted, by priority. */
  readonly #requested = new Map<number, DecayingSum>();
  readonly #granted = new Map<number, DecayingSum>();
  /** Retry time of the last request that was refused. */
  #lastRetryAt: Milliseconds = 0;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** Counts a request for an assignment. */
  noteRequest(priority: number, now: Milliseconds): void {
    sumOf(this.#requested, priority).add(1, now, RATE_WINDOW_MS);
  }

  /** Counts a request that was granted an assignment. */
  noteGrant(priority: number, now: Milliseconds): void {
    sumOf(this.#granted, priority).add(1, now, RATE_WINDOW_MS);
  }

  /** Whether more urgent requests leave a part of the rate to the priority. */
  mayGrant(priority: number, perSecond: number, now: Milliseconds): boolean {
    const moreUrgent = rateOf(
      this.#requested,
      (other) => other < priority,
      now,
    );
    if (moreUrgent === 0) return true;
    const available = Math.max(perSecond * MIN_SHARE, perSecond - moreUrgent);
    return rateOf(this.#granted, (other) => other >= priority, now) < available;
  }

  /**
   * The retry delay of a refused request; retry times are one request interval
   * apart.
   */
  retryAfterMs(refusal: RateRefusal, now: Milliseconds): Milliseconds {
    const { perSecond, minWaitMs, longestRetryMs } = refusal;
    const retryAt = Math.max(
      now + minWaitMs,
      this.#lastRetryAt + 1000 / perSecond,
    );
    if (retryAt > now + longestRetryMs) {
      return longestRetryMs * (1 - this.#random() * RETRY_JITTER);
    }
    this.#lastRetryAt = retryAt;
    return retryAt - now;
  }
}

function sumOf(sums: Map<number, DecayingSum>, priority: number): DecayingSum {
  const known = sums.get(priority);
  if (known) return known;
  const sum = new DecayingSum();
  sums.set(priority, sum);
  return sum;
}

/** Requests per second of the priorities that match. */
function rateOf(
  sums: ReadonlyMap<number, DecayingSum>,
  matches: (priority: number) => boolean,
  now: Milliseconds,
): number {
  let sum = 0;
  for (const [priority, recent] of sums) {
    if (matches(priority)) sum += recent.at(now, RATE_WINDOW_MS);
  }
  return sum / (RATE_WINDOW_MS / 1000);
}
