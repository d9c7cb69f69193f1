/** Counts what one response holds against the budget of its host. */
import { type ByteBudget, HeldFor } from "./byte_budget.ts";

/** The bytes that are held of one response before they can be forwarded. */
export class HeldBytes {
  readonly #budget: ByteBudget;
  readonly #isMostUrgent: boolean;
  #bytes = 0;

  constructor(
    { budget, isMostUrgent }: {
      readonly budget: ByteBudget;
      readonly isMostUrgent: boolean;
    },
  ) {
    this.#budget = budget;
    this.#isMostUrgent = isMostUrgent;
  }

  /** Holds this many bytes instead; false: there is no room for them. */
  set(bytes: number): boolean {
    const added = bytes - this.#bytes;
    if (added <= 0) this.#budget.release(HeldFor.answers, -added);
    else {
      const isMostUrgent = this.#isMostUrgent;
      const isHeld = this.#budget.tryHold(HeldFor.answers, added, {
        isMostUrgent,
      });
      if (!isHeld) return false;
    }
    this.#bytes = bytes;
    return true;
  }
}
