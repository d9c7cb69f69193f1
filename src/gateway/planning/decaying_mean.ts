/** A mean whose samples decay with time. */
import type { Milliseconds } from "../../util/units.ts";
import { DecayingSum } from "./decaying_sum.ts";

/** Weight of the assumption that a replica is as fast as before, or as others. */
const PRIOR_WEIGHT = 4;
/** Maximum and minimum weight of the mean of another estimator. */
const MAX_ADOPTED_WEIGHT = 12;
const MIN_ADOPTED_WEIGHT = 0.02;

/** A mean of another estimator, the weight of its samples, and its age. */
export type AdoptedMean = {
  readonly value: number;
  readonly weight: number;
  readonly ageMs: Milliseconds;
};

/** A mean whose samples decay with time. */
export class DecayingMean {
  readonly #sum = new DecayingSum();
  readonly #weights = new DecayingSum();
  readonly #decayMs: Milliseconds;

  constructor(decayMs: Milliseconds) {
    this.#decayMs = decayMs;
  }

  /** Adds a sample. */
  add(value: number, weight: number, now: Milliseconds): void {
    this.#sum.add(value * weight, now, this.#decayMs);
    this.#weights.add(weight, now, this.#decayMs);
  }

  /** The weight of the samples. */
  weight(now: Milliseconds): number {
    return this.#weights.at(now, this.#decayMs);
  }

  /** The mean of the samples; 0 without samples. */
  mean(now: Milliseconds): number {
    const weight = this.weight(now);
    return weight > 0 ? this.#sum.at(now, this.#decayMs) / weight : 0;
  }

  /**
   * Adds the mean of another estimator for the weight by which its samples
   * exceed the own ones; returns whether they do.
   */
  adopt({ value, weight, ageMs }: AdoptedMean, now: Milliseconds): boolean {
    const aged = Math.min(MAX_ADOPTED_WEIGHT, weight) *
      Math.exp(-ageMs / this.#decayMs);
    const missing = aged - this.weight(now);
    if (missing < MIN_ADOPTED_WEIGHT) return false;
    this.add(value, missing, now);
    return true;
  }

  /** The mean of the samples and of `prior` with its weight. */
  shrunk(prior: number, now: Milliseconds): number {
    const sum = this.#sum.at(now, this.#decayMs) + prior * PRIOR_WEIGHT;
    return sum / (this.weight(now) + PRIOR_WEIGHT);
  }
}
