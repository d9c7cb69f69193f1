/**
 * Forecasts when the pool of one service can start a request, and refuses
 * requests that can't start before their callers time out. A request that will
 * miss its deadline is queued only if the pool has spare capacity: requests
 * that arrive later and can still meet theirs are scheduled first, so in an
 * overloaded pool it would never start.
 */
import type { Milliseconds } from "../../util/units.ts";
import { MIN_PER_SECOND } from "../limits/allowance.ts";
import { DecayingSum } from "./decaying_sum.ts";
import type { PlanRequest } from "./messages.ts";

/** Assumed lifetime of an assignment until one has ended. */
const INITIAL_LIFETIME_MS = 4000;
/** Weight of the previous mean when a lifetime is averaged in. */
const LIFETIME_DECAY = 0.95;
/**
 * Share of the free memory that is usable, since requests don't fit exactly.
 */
const USABLE_FREE_SHARE = 0.8;
/** How long a refused key is recognized as a retry. */
const REFUSAL_TTL_MS = 12_000;
/**
 * Retry times of requests that are refused together are spread over this share
 * of the delay, because memory is released evenly as well.
 */
const RETRY_JITTER = 0.33;

/** What a pool can serve; full capacity is a load of 1. */
export type PoolCapacity = {
  /** Memory of all decode replicas, in tokens. */
  readonly memory: number;
  /** Prompt tokens processed per millisecond; 0 without any prefill replica. */
  readonly prefillRate: number;
  /**
   * Requests per second that the decode replicas accept; Infinity: no limit.
   */
  readonly startRate: number;
};

/** State of a pool when a request arrives. */
export type PoolState = PoolCapacity & {
  /** Tokens of the request and of those ahead of it. */
  readonly tokens: number;
  /** Number of requests up to and including this one. */
  readonly requests: number;
  /** Tokens reserved at all decode replicas. */
  readonly reserved: number;
  /** Prompt tokens that the prefill replicas have to process before it. */
  readonly promptTokens: number;
};

/** The state of a pool on which the rate of its starts depends. */
export type BusyPool = Pick<
  PoolState,
  "reserved" | "prefillRate" | "startRate"
>;

/** When a pool can start a request. */
export type Forecast = {
  /** Wait if no later request is scheduled before it. */
  readonly waitMs: Milliseconds;
  /** Wait if it is late and later requests overtake it; may be Infinity. */
  readonly lateWaitMs: Milliseconds;
};

/** A request that is refused. */
export type RefusedRequest = {
  /** Identifies the prompt; may be empty. */
  readonly key: string;
  /** Forecast wait; may be Infinity. */
  readonly waitMs: Milliseconds;
  /** Longest retry delay that the caller accepts. */
  readonly longestRetryMs: Milliseconds;
};

/** Forecasts waits and records which requests were refused. */
export class Admission {
  readonly #random: () => number;
  /** By key, in ascending order of the times. */
  readonly #refusedUntil = new Map<string, Milliseconds>();
  /** Tokens that arrived within about one assignment lifetime. */
  readonly #offeredTokens = new DecayingSum();
  readonly #offeredTokensByPriority = new Map<number, DecayingSum>();
  readonly #offeredPromptTokens = new DecayingSum();
  readonly #offeredRequests = new DecayingSum();
  #meanLifetimeMs: Milliseconds = INITIAL_LIFETIME_MS;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** Counts a request that arrived; a retry counts again. */
  noteArrival(
    request: Pick<PlanRequest, "tokens" | "promptTokens" | "priority">,
    now: Milliseconds,
  ): void {
    const byPriority = this.#offeredTokensByPriority;
    const known = byPriority.get(request.priority);
    const offered = known ?? new DecayingSum();
    if (!known) byPriority.set(request.priority, offered);
    offered.add(request.tokens, now, this.#meanLifetimeMs);
    this.#offeredTokens.add(request.tokens, now, this.#meanLifetimeMs);
    this.#offeredPromptTokens.add(
      request.promptTokens,
      now,
      this.#meanLifetimeMs,
    );
    this.#offeredRequests.add(1, now, this.#meanLifetimeMs);
  }

  /** Records the lifetime of an assignment that has ended. */
  noteEnd(lifetimeMs: Milliseconds): void {
    this.#meanLifetimeMs = this.#meanLifetimeMs * LIFETIME_DECAY +
      lifetimeMs * (1 - LIFETIME_DECAY);
  }

  /**
   * Tokens of requests like this one that a busy pool can start per
   * millisecond.
   */
  startableTokensPerMs(
    request: { readonly tokens: number; readonly promptTokens: number },
    { reserved, prefillRate, startRate }: BusyPool,
  ): number {
    const { tokens, promptTokens } = request;
    const memoryMs = tokens * this.#meanLifetimeMs / Math.max(1, reserved);
    const prefillMs = prefillRate > 0 ? promptTokens / prefillRate : 0;
    const startMs = 1000 / Math.max(MIN_PER_SECOND, startRate);
    return tokens / Math.max(memoryMs, prefillMs, startMs);
  }

  /** Whether a request with this key was refused recently. */
  wasRefused(key: string, now: Milliseconds): boolean {
    return now < (this.#refusedUntil.get(key) ?? 0);
  }

  /** Forecasts when the pool can start the last of `tokens`. */
  forecast(pool: PoolState, now: Milliseconds): Forecast {
    const { tokens, reserved, memory, promptTokens, prefillRate } = pool;
    const { requests, startRate } = pool;
    const missingTokens = tokens -
      Math.max(0, memory - reserved) * USABLE_FREE_SHARE;
    // Assumes that reserved memory is released evenly over the mean lifetime.
    const memoryMs = Math.max(0, missingTokens) * this.#meanLifetimeMs /
      Math.max(1, reserved);
    const prefillMs = prefillRate > 0 ? promptTokens / prefillRate : 0;
    const startMs = Number.isFinite(startRate)
      ? (requests - 1) * 1000 / Math.max(MIN_PER_SECOND, startRate)
      : 0;
    const load = this.#loadOf(pool, now);
    return {
      waitMs: Math.max(memoryMs, prefillMs, startMs),
      lateWaitMs: Math.max(
        waitWhenOvertaken(memoryMs, load.memory),
        waitWhenOvertaken(prefillMs, load.prefill),
        waitWhenOvertaken(startMs, load.start),
      ),
    };
  }

  /** A wait prolonged by later requests that are scheduled first. */
  lateWaitMs(
    waitMs: Milliseconds,
    pool: PoolCapacity,
    now: Milliseconds,
  ): Milliseconds {
    const { memory, prefill, start } = this.#loadOf(pool, now);
    return waitWhenOvertaken(waitMs, Math.max(memory, prefill, start));
  }

  /** A wait prolonged by later requests that are more urgent. */
  urgentWaitMs(
    waitMs: Milliseconds,
    { memory, priority }: { memory: number; priority: number },
    now: Milliseconds,
  ): Milliseconds {
    let tokens = 0;
    for (const [other, offered] of this.#offeredTokensByPriority) {
      if (other < priority) tokens += offered.at(now, this.#meanLifetimeMs);
    }
    return waitWhenOvertaken(waitMs, tokens / Math.max(1, memory));
  }

  /** Offered load of the memory, the prefill replicas and the limits. */
  #loadOf(
    { memory, prefillRate, startRate }: PoolCapacity,
    now: Milliseconds,
  ): { memory: number; prefill: number; start: number } {
    const lifetimeMs = this.#meanLifetimeMs;
    return {
      memory: this.#offeredTokens.at(now, lifetimeMs) / Math.max(1, memory),
      prefill: prefillRate > 0
        ? this.#offeredPromptTokens.at(now, lifetimeMs) /
          (prefillRate * lifetimeMs)
        : 0,
      start: this.#offeredRequests.at(now, lifetimeMs) /
        (startRate * lifetimeMs) *
        1000,
    };
  }

  /** Records a refusal; returns the delay after which to retry. */
  refuse(
    { key, waitMs, longestRetryMs }: RefusedRequest,
    now: Milliseconds,
  ): Milliseconds {
    for (const [refusedKey, until] of this.#refusedUntil) {
      if (until > now) break;
      this.#refusedUntil.delete(refusedKey);
    }
    if (key !== "") {
      this.#refusedUntil.delete(key);
      this.#refusedUntil.set(key, now + REFUSAL_TTL_MS);
    }
    const jitter = 1 - this.#random() * RETRY_JITTER;
    return Math.min(longestRetryMs, waitMs) * jitter;
  }
}

/**
 * The wait of a request that is overtaken by later ones, which offer `load`.
 */
function waitWhenOvertaken(waitMs: Milliseconds, load: number): Milliseconds {
  if (waitMs === 0) return 0;
  return load < 1 ? waitMs / (1 - load) : Infinity;
}
