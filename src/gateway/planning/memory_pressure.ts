/**
 * Decides how much of the decode memory reservations may fill. Reservations are
 * estimates, and requests with longer outputs than expected hold memory for
 * longer. If estimates are too low, a pool that stays full preempts requests,
 * whose prompts are processed again. Reported use can't exceed the memory, so it
 * shows that a replica is full, but not by how much the estimates are too low.
 */
import type { LabelledGauge } from "../observe/metrics.ts";

/** A replica that uses more of its memory is about to preempt requests. */
const FULL_SHARE = 0.96;
/**
 * Consecutive rounds in which replicas may be full: most requests of a shorter
 * burst end before their outputs have grown.
 */
const TOLERATED_FULL_ROUNDS = 2;
/** Decrease of the factor in a round if all replicas are full. */
const DECREASE = 0.12;
/** Increase of the factor in a round in which none is full. */
const INCREASE = 0.02;
/** Bounds the factor, against reports that are wrong. */
const MIN_FACTOR = 0.6;

/** The memory of the services of one planner. */
export class MemoryPressure {
  readonly #factors = new Map<string, number>();
  /** Consecutive rounds in which some replica was full. */
  readonly #fullRounds = new Map<string, number>();

  /**
   * Records a round of reports of a service's replicas: the shares of their
   * memory that are in use.
   */
  note(service: string, usedShares: readonly number[]): void {
    const full = usedShares.filter((share) => share >= FULL_SHARE).length;
    const rounds = full > 0 ? (this.#fullRounds.get(service) ?? 0) + 1 : 0;
    this.#fullRounds.set(service, rounds);
    if (rounds > 0 && rounds <= TOLERATED_FULL_ROUNDS) return;
    const change = rounds > 0 ? -DECREASE * full / usedShares.length : INCREASE;
    const factor = Math.max(MIN_FACTOR, this.factor(service) + change);
    if (factor >= 1) this.#factors.delete(service);
    else this.#factors.set(service, factor);
  }

  /** Forgets all services but these. */
  retain(services: readonly string[]): void {
    const retained = new Set(services);
    for (const values of [this.#factors, this.#fullRounds]) {
      for (const service of values.keys()) {
        if (!retained.has(service)) values.delete(service);
      }
    }
  }

  /** The factors below 1, as a gauge by service. */
  gauge(): LabelledGauge {
    const values = [...this.#factors].map(([service, value]) => ({
      labels: { service },
      value,
    }));
    return { name: "memory_fill", values };
  }

  /** The part of a service's memory that reservations may fill. */
  factor(service: string): number {
    return this.#factors.get(service) ?? 1;
  }
}
