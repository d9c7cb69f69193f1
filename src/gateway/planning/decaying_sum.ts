/** A sum in which each amount decays exponentially with time. */
import type { Milliseconds } from "../../util/units.ts";

export class DecayingSum {
  #sum = 0;
  #updatedAt: Milliseconds = 0;

  /** Adds an amount; `decayMs` is the time in which it decays to 1/e. */
  add(amount: number, now: Milliseconds, decayMs: Milliseconds): void {
    this.#sum = this.at(now, decayMs) + amount;
    this.#updatedAt = now;
  }

  /** The sum of all amounts, decayed until `now`. */
  at(now: Milliseconds, decayMs: Milliseconds): number {
    return this.#sum * Math.exp((this.#updatedAt - now) / decayMs);
  }
}
