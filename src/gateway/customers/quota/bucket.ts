/** A token bucket that fills as far as its owner covers the fleet. */
import type { Milliseconds } from "../../../core/ids.ts";
import type { Rate } from "./bounds.ts";

/** What is taken, and for how long it may be waited for. */
export type Taking = {
  readonly units: number;
  readonly mostWaitMs: Milliseconds;
};

/** The units are taken, to be used after a wait, or they are not to be had. */
export type Taken =
  | { readonly type: "granted"; readonly afterMs: Milliseconds }
  | { readonly type: "refused"; readonly retryAfterMs: Milliseconds };

/** How a bucket fills: time as owner, and the share of the fleet now. */
export type Filling = {
  readonly coveredMs: Milliseconds;
  readonly share: number;
};

/** A refused caller comes back no sooner, in milliseconds. */
const LEAST_RETRY_MS = 100;
/** Told where the time of return can't be worked out, in milliseconds. */
const UNKNOWN_RETRY_MS = 1000;

/** The bucket of one customer. */
export class Bucket {
  #rate: Rate;
  #capacity: number;
  #level: number;
  #coveredMs: Milliseconds;

  constructor(
    source: {
      readonly rate: Rate;
      readonly capacity: number;
      /** Level when its owner began. */
      readonly firstLevel: number;
    },
    filling: Filling,
  ) {
    this.#rate = source.rate;
    this.#capacity = source.capacity;
    this.#level = source.firstLevel;
    this.#coveredMs = 0;
    this.#fill(filling);
  }

  /** Nothing is lost when a full bucket is dropped and made anew. */
  isFull(filling: Filling): boolean {
    this.#fill(filling);
    return this.#level >= this.#capacity;
  }

  /** Puts another rate in force. */
  change(rate: Rate, capacity: number, filling: Filling): void {
    this.#fill(filling);
    this.#rate = rate;
    this.#capacity = capacity;
    this.#level = Math.min(this.#level, capacity);
  }

  /**
   * Takes units, also ahead of time if the wait for them is short. What is more
   * than the bucket holds at most is taken from a full one: its debt delays
   * those that follow.
   */
  take({ units, mostWaitMs }: Taking, filling: Filling): Taken {
    this.#fill(filling);
    const missing = Math.min(units, this.#capacity) - this.#level;
    const afterMs = this.#timeFor(missing, filling.share);
    if (afterMs > mostWaitMs) {
      const known = Number.isFinite(afterMs) ? afterMs : UNKNOWN_RETRY_MS;
      const retryAfterMs = Math.max(LEAST_RETRY_MS, known);
      return { type: "refused", retryAfterMs };
    }
    this.#level -= units;
    return { type: "granted", afterMs };
  }

  /** Units that were taken were not used. */
  giveBack(units: number, filling: Filling): void {
    this.#fill(filling);
    this.#level = Math.min(this.#capacity, this.#level + units);
  }

  #timeFor(units: number, share: number): Milliseconds {
    if (units <= 0) return 0;
    return units / (this.#rate.perSecond * share) * 1000;
  }

  #fill({ coveredMs }: Filling): void {
    const gained = this.#rate.perSecond * (coveredMs - this.#coveredMs) / 1000;
    this.#level = Math.min(this.#capacity, this.#level + gained);
    this.#coveredMs = coveredMs;
  }
}
