/**
 * Decides when a change of the split pays. The load that it answers: waves and
 * bursts of demand of some seconds, during which a change would cost more than
 * it brings, against demand that has turned for longer.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Time in which evidence decays to 1/e. */
const EVIDENCE_DECAY_MS = 60_000;
/** Longest time between two calls that counts in full. */
const MAX_INTERVAL_MS = 2000;

/** Accumulates what the present split loses, as a share of a change's cost. */
export class ChangeEvidence {
  #paid = 0;
  #updatedAt: Milliseconds | undefined;
  #direction = 0;

  /** Whether the losses so far exceed the cost of the change. */
  get isSufficient(): boolean {
    return this.#paid >= 1;
  }

  /**
   * Adds the loss since the last call, in costs of the wanted change a second;
   * 0 if none is wanted. `direction` is the wanted change in the number of
   * prefill replicas: evidence for more of them is discarded when fewer are
   * wanted, and the reverse.
   */
  add(lossPerSecond: number, direction: number, now: Milliseconds): void {
    const elapsedMs = Math.min(
      MAX_INTERVAL_MS,
      now - (this.#updatedAt ?? now),
    );
    this.#updatedAt = now;
    if (direction * this.#direction < 0) this.#paid = 0;
    if (direction !== 0) this.#direction = direction;
    this.#paid = this.#paid * Math.exp(-elapsedMs / EVIDENCE_DECAY_MS) +
      lossPerSecond * elapsedMs / 1000;
  }

  /** Discards the evidence; time until the next `add` doesn't count. */
  reset(): void {
    this.#paid = 0;
    this.#updatedAt = undefined;
    this.#direction = 0;
  }
}
