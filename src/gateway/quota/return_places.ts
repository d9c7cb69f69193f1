/**
 * Tells refused requests of one account when to retry: at the time at which
 * enough units become available for each of them. Requests that arrive in
 * between may take those units; one that is refused once more at its time gets
 * a place for which units are set aside. Otherwise a large request would be
 * refused for as long as small ones arrive.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Part of what becomes available that is set aside for retries. */
const RETRY_SHARE = 0.25;
/** How much before its time a retry still gets its place. */
const EARLY_MS = 100;
/** How long after its time a place is kept. */
const KEEP_MS = 400;
/**
 * Units are set aside from at least this time before a retry; they become
 * available in steps of half of it.
 */
const MIN_COLLECT_MS = 500;
/** Longer for large requests: this multiple of their units over the rate. */
const COLLECT_FACTOR = 2;
/**
 * Part of the longest accepted delay in which small requests get places; the
 * rest is left to large ones, which otherwise would find none.
 */
const SMALL_HORIZON = 0.5;
/** Decay of the largest refused request, for each refusal. */
const LARGEST_DECAY = 0.999;
/** Weight of the previous share of places that were claimed. */
const CLAIMED_DECAY = 0.95;
/** Some places are given out even if callers don't come back. */
const MIN_CLAIMED_SHARE = 0.1;
/**
 * Without a place, retry times are spread over this share of the longest
 * accepted delay.
 */
const RETRY_SPREAD = 0.33;
/** Its multiples, modulo 1, are spread evenly. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;
const MAX_PLACES = 1000;

/** Units set aside for one retry. */
type Place = {
  readonly key: string;
  readonly units: number;
  readonly at: Milliseconds;
  /** When its units begin to be set aside; Infinity: they are not. */
  readonly collectFrom: Milliseconds;
};

/** The place at which a request retries. */
export type ClaimedPlace = {
  /** Whether its units were set aside. */
  readonly isSetAside: boolean;
};

/** A request that is refused. */
export type RefusedUnits = {
  /** Equal for every attempt of the same request. */
  readonly key: string;
  readonly units: number;
  /**
   * Time until so many units are available, if no request takes any; Infinity
   * if never.
   */
  waitMsFor(units: number): Milliseconds;
  /** It came back at the time it was told, and is refused nevertheless. */
  readonly hadPlace: boolean;
  /** Longest retry delay that its caller accepts. */
  readonly longestRetryMs: Milliseconds;
  /** Units that the account may grant per second; positive. */
  readonly perSecond: number;
};

/** The retries that an account expects, in order of their times. */
export class ReturnPlaces {
  #places: Place[] = [];
  #withoutPlace = 0;
  /** Units of the largest request refused lately. */
  #largest = 0;
  /** Share of the recent places that were claimed. */
  #claimedShare = 1;

  /** Takes the place of a request that retries, if it has one. */
  claim(key: string, now: Milliseconds): ClaimedPlace | undefined {
    const kept = this.#places.filter(({ at }) => now < at + KEEP_MS);
    for (let lapsed = this.#places.length - kept.length; lapsed > 0; lapsed--) {
      this.#claimedShare *= CLAIMED_DECAY;
    }
    this.#places = kept;
    const index = kept.findIndex((place) =>
      place.key === key && place.at - EARLY_MS <= now
    );
    const place = kept[index];
    if (!place) return undefined;
    kept.splice(index, 1);
    this.#claimedShare = 1 - (1 - this.#claimedShare) * CLAIMED_DECAY;
    return { isSetAside: place.collectFrom <= now };
  }

  /** Units that are set aside at present. */
  unitsAt(now: Milliseconds): number {
    let sum = 0;
    for (const { units, at, collectFrom } of this.#places) {
      if (collectFrom <= now && now < at + KEEP_MS) sum += units;
    }
    return sum;
  }

  /** The delay after which to retry; books a place if there is one in time. */
  retryAfterMs(
    refused: RefusedUnits,
    now: Milliseconds,
  ): Milliseconds {
    const { key, units, longestRetryMs, perSecond } = refused;
    const told = this.#places.reduce((sum, place) => sum + place.units, 0);
    const lastAt = this.#places.at(-1)?.at ?? now;
    const claimed = Math.max(MIN_CLAIMED_SHARE, this.#claimedShare);
    const at = Math.max(
      now + refused.waitMsFor((told / claimed + units) / RETRY_SHARE),
      lastAt + units * 1000 / perSecond,
    );
    this.#largest = Math.max(units, this.#largest * LARGEST_DECAY);
    const horizon = SMALL_HORIZON +
      (1 - SMALL_HORIZON) * units / Math.max(1e-9, this.#largest);
    const mayBook = at <= now + longestRetryMs * horizon &&
      this.#places.length < MAX_PLACES;
    if (!mayBook) return this.#spread(longestRetryMs);
    const collectMs = MIN_COLLECT_MS +
      units * 1000 / perSecond * COLLECT_FACTOR;
    const collectFrom = refused.hadPlace ? at - collectMs : Infinity;
    this.#places.push({ key, units, at, collectFrom });
    return at - now;
  }

  /** Spreads delays evenly, however many there are. */
  #spread(longestRetryMs: Milliseconds): Milliseconds {
    this.#withoutPlace = (this.#withoutPlace + GOLDEN_RATIO) % 1;
    return longestRetryMs * (1 - this.#withoutPlace * RETRY_SPREAD);
  }
}
