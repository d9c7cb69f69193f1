/**
 * Forecasts when a pool can begin with a request, and refuses at once what it
 * can't begin before the caller gives up. A request that would only be late
 * waits: a late answer is worth more to its caller than none, and late requests
 * are served after those that can be on time.
 */
import type { Milliseconds } from "../../core/ids.ts";

/** Life of a place before one has ended. */
const FIRST_LIFE_MS = 4000;
/** Part of the old mean that stays with each new life. */
const LIFE_MEMORY = 0.95;
/** Part of the free memory that can be used: requests don't fit exactly. */
const FREE_USE = 0.8;
/** A refused request is known again for so long. */
const REMEMBER_MS = 12_000;
/**
 * Callers that are refused together are spread over this part of their wait:
 * memory comes back evenly, and so should they.
 */
const RETRY_SPREAD = 0.5;

/** The state of a pool when a request asks. */
export type PoolState = {
  /** Tokens of the request and of those before it. */
  readonly tokens: number;
  /** Tokens given away at all decode replicas. */
  readonly held: number;
  /** Memory of all decode replicas, in tokens. */
  readonly memory: number;
  /** Time that the prefill replicas need for those before it. */
  readonly prefillMs: Milliseconds;
};

/** A request that is refused. */
export type RefusedRequest = {
  /** Names its prompt; may be empty. */
  readonly key: string;
  /** The forecast of its wait. */
  readonly waitMs: Milliseconds;
  /** Longest time to come back that its caller heeds. */
  readonly longestRetryMs: Milliseconds;
};

/** Forecasts waits and remembers whom it refused. */
export class Admission {
  readonly #random: () => number;
  readonly #refused = new Map<string, Milliseconds>();
  #lifeMs: Milliseconds = FIRST_LIFE_MS;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** A place has ended after `lifeMs`. */
  noteEnd(lifeMs: Milliseconds): void {
    this.#lifeMs = this.#lifeMs * LIFE_MEMORY + lifeMs * (1 - LIFE_MEMORY);
  }

  /** Whether the request was refused a while ago. */
  cameBack(key: string, now: Milliseconds): boolean {
    return now < (this.#refused.get(key) ?? 0);
  }

  /** Time until the pool can begin with the last of `tokens`. */
  waitMs({ tokens, held, memory, prefillMs }: PoolState): Milliseconds {
    const missing = tokens - Math.max(0, memory - held) * FREE_USE;
    // Memory comes back evenly: what is held, over the life of a place.
    const memoryMs = Math.max(0, missing) * this.#lifeMs / Math.max(1, held);
    return Math.max(memoryMs, prefillMs);
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
    const spread = 1 + this.#random() * RETRY_SPREAD;
    return Math.min(longestRetryMs, waitMs * spread);
  }
}
