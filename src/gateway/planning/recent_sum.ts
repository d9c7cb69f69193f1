/** How much arrived lately: a sum in which each amount fades with time. */
import type { Milliseconds } from "../../util/units.ts";

/** A decaying sum. */
export class RecentSum {
  #sum = 0;
  #at: Milliseconds = 0;

  /** So much arrived; `fadeMs`: the time in which it falls to 1/e. */
  add(amount: number, now: Milliseconds, fadeMs: Milliseconds): void {
    this.#sum = this.at(now, fadeMs) + amount;
    this.#at = now;
  }

  /** What is left of all amounts at `now`. */
  at(now: Milliseconds, fadeMs: Milliseconds): number {
    return this.#sum * Math.exp((this.#at - now) / fadeMs);
  }
}
