/**
 * Forecasts when the pool of one service can begin with a request, and refuses
 * at once what it can't begin before the caller gives up. A request that will be
 * late waits only where the pool has time for it: on-time requests that arrive
 * later go before it, so in a pool that is offered more than it can hold it
 * would wait in vain.
 */
import type { Milliseconds } from "../../util/units.ts";
import { LEAST_PER_SECOND } from "../limits/allowance.ts";
import { RecentSum } from "./recent_sum.ts";

/** Life of a place before one has ended. */
const FIRST_LIFE_MS = 4000;
/** Part of the old mean that stays with each new life. */
const LIFE_MEMORY = 0.95;
/** Part of the free memory that can be used: requests don't fit exactly. */
const FREE_USE = 0.8;
/** A refused request is known again for so long. */
const REMEMBER_MS = 12_000;
/**
 * Callers that are refused together come back over this part of the time that
 * they are told: memory comes back evenly, and so should they.
 */
const RETRY_SPREAD = 0.33;

/** The state of a pool when a request asks. */
export type PoolState = {
  /** Tokens of the request and of those before it. */
  readonly tokens: number;
  /** The request and those before it. */
  readonly requests: number;
  /** Requests a second that the decode replicas take; Infinity: any number. */
  readonly startRate: number;
  /** Tokens given away at all decode replicas. */
  readonly held: number;
  /** Memory of all decode replicas, in tokens. */
  readonly memory: number;
  /** Prompt tokens that the prefill replicas have to read before it. */
  readonly promptTokens: number;
  /** Prompt tokens that they read in a millisecond; 0 without any. */
  readonly readingRate: number;
};

/** When a pool can begin with a request. */
export type Forecast = {
  /** If nothing that arrives later goes before it. */
  readonly waitMs: Milliseconds;
  /** If it is late, so that on-time newcomers do; may be Infinity. */
  readonly lateWaitMs: Milliseconds;
};

/** A request that is refused. */
export type RefusedRequest = {
  /** Names its prompt; may be empty. */
  readonly key: string;
  /** The forecast of its wait; may be Infinity. */
  readonly waitMs: Milliseconds;
  /** Longest time to come back that its caller heeds. */
  readonly longestRetryMs: Milliseconds;
};

/** Forecasts waits and remembers whom it refused. */
export class Admission {
  readonly #random: () => number;
  readonly #refused = new Map<string, Milliseconds>();
  /** Tokens that arrived within about a life of a place. */
  readonly #tokens = new RecentSum();
  readonly #prompts = new RecentSum();
  readonly #requests = new RecentSum();
  #lifeMs: Milliseconds = FIRST_LIFE_MS;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** A request came; one that comes back counts again. */
  noteArrival(
    asked: { readonly tokens: number; readonly promptTokens: number },
    now: Milliseconds,
  ): void {
    this.#tokens.add(asked.tokens, now, this.#lifeMs);
    this.#prompts.add(asked.promptTokens, now, this.#lifeMs);
    this.#requests.add(1, now, this.#lifeMs);
  }

  /** A place has ended after `lifeMs`. */
  noteEnd(lifeMs: Milliseconds): void {
    this.#lifeMs = this.#lifeMs * LIFE_MEMORY + lifeMs * (1 - LIFE_MEMORY);
  }

  /** Whether the request was refused a while ago. */
  cameBack(key: string, now: Milliseconds): boolean {
    return now < (this.#refused.get(key) ?? 0);
  }

  /** When the pool can begin with the last of `tokens`. */
  forecast(pool: PoolState, now: Milliseconds): Forecast {
    const { tokens, held, memory, promptTokens, readingRate } = pool;
    const { requests, startRate } = pool;
    const missing = tokens - Math.max(0, memory - held) * FREE_USE;
    // Memory comes back evenly: what is held, over the life of a place.
    const memoryMs = Math.max(0, missing) * this.#lifeMs / Math.max(1, held);
    const readingMs = readingRate > 0 ? promptTokens / readingRate : 0;
    const startMs = Number.isFinite(startRate)
      ? (requests - 1) * 1000 / Math.max(LEAST_PER_SECOND, startRate)
      : 0;
    // Load offered to the memory and to the prefill replicas; 1 is all of it.
    const lifeMs = this.#lifeMs;
    const memoryLoad = this.#tokens.at(now, lifeMs) / Math.max(1, memory);
    const readingLoad = readingRate > 0
      ? this.#prompts.at(now, lifeMs) / (readingRate * lifeMs)
      : 0;
    const startLoad = this.#requests.at(now, lifeMs) / (startRate * lifeMs) *
      1000;
    return {
      waitMs: Math.max(memoryMs, readingMs, startMs),
      lateWaitMs: Math.max(
        overtaken(memoryMs, memoryLoad),
        overtaken(readingMs, readingLoad),
        overtaken(startMs, startLoad),
      ),
    };
  }

  /** Remembers a refusal; gives the time after which to come back. */
  refuse(
    { key, waitMs, longestRetryMs }: RefusedRequest,
    now: Milliseconds,
  ): Milliseconds {
    for (const [known, until] of this.#refused) {
      if (until <= now) this.#refused.delete(known);
    }
    if (key !== "") this.#refused.set(key, now + REMEMBER_MS);
    const spread = 1 - this.#random() * RETRY_SPREAD;
    return Math.min(longestRetryMs, waitMs) * spread;
  }
}

/** A wait of a request that newcomers overtake, who offer a load. */
function overtaken(waitMs: Milliseconds, load: number): Milliseconds {
  if (waitMs === 0) return 0;
  return load < 1 ? waitMs / (1 - load) : Infinity;
}
