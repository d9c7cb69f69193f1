/**
 * Prompt tokens per second of each replica that prefills. The ledger's lines
 * serve to estimate one prefill; their slope is not a rate, since noise and
 * cached prefixes move time between the fixed part and the slope.
 */
import type { Milliseconds } from "../../util/units.ts";
import { DecayingSum } from "./decaying_sum.ts";

/** Time constant of a measured rate. */
const RATE_DECAY_MS = 15_000;
/** Prefills of a replica before its rate is used. */
const MIN_PREFILLS = 3;
/** Time without prefills after which a rate is dropped. */
const RATE_TTL_MS = 300_000;

type ReplicaSums = {
  prefills: number;
  readonly tokens: DecayingSum;
  readonly spentMs: DecayingSum;
  lastAt: Milliseconds;
};

/** Prefill time for which the rate of another planner counts. */
const ADOPTED_SPENT_MS = 500;

/** Measured rates by incarnation. */
export class PrefillRates {
  readonly #replicas = new Map<string, ReplicaSums>();

  /** Records a prefill that did not queue behind others. */
  note(
    prefill: {
      readonly incarnation: string;
      readonly tokens: number;
      readonly spentMs: Milliseconds;
    },
    now: Milliseconds,
  ): void {
    const { incarnation, tokens, spentMs } = prefill;
    const sums = this.#replicas.get(incarnation) ??
      this.#create(incarnation, now);
    sums.prefills += 1;
    sums.lastAt = now;
    sums.tokens.add(tokens, now, RATE_DECAY_MS);
    sums.spentMs.add(spentMs, now, RATE_DECAY_MS);
  }

  /** Tokens per second; undefined until enough prefills were measured. */
  rateOf(incarnation: string, now: Milliseconds): number | undefined {
    const sums = this.#replicas.get(incarnation);
    if (!sums || sums.prefills < MIN_PREFILLS) return undefined;
    if (now - sums.lastAt > RATE_TTL_MS) return undefined;
    const spentMs = sums.spentMs.at(now, RATE_DECAY_MS);
    const tokens = sums.tokens.at(now, RATE_DECAY_MS);
    return spentMs > 0 && tokens > 0 ? tokens * 1000 / spentMs : undefined;
  }

  /** Replaces a rate by that of another planner. */
  adopt(incarnation: string, tokensPerS: number, now: Milliseconds): void {
    const sums = this.#create(incarnation, now);
    sums.prefills = MIN_PREFILLS;
    const tokens = tokensPerS * ADOPTED_SPENT_MS / 1000;
    sums.tokens.add(tokens, now, RATE_DECAY_MS);
    sums.spentMs.add(ADOPTED_SPENT_MS, now, RATE_DECAY_MS);
  }

  /** Also drops the rates of replicas that are gone or no longer prefill. */
  #create(incarnation: string, now: Milliseconds): ReplicaSums {
    for (const [known, { lastAt }] of this.#replicas) {
      if (now - lastAt > RATE_TTL_MS) this.#replicas.delete(known);
    }
    const sums = {
      prefills: 0,
      tokens: new DecayingSum(),
      spentMs: new DecayingSum(),
      lastAt: now,
    };
    this.#replicas.set(incarnation, sums);
    return sums;
  }
}
