/** What was taken of an account in the last window. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * Times are kept to this much: a window has 32 slots of a deployment's 8 s, and
 * what was taken counts for up to a slot longer than it must.
 */
const SLOT_MS = 250;

/** Units by the time at which they were taken. */
export class WindowLog {
  readonly #slots = new Map<number, number>();
  #sum = 0;

  /** Units of the last window, after {@link expire}. */
  get sum(): number {
    return this.#sum;
  }

  /** Forgets what no window that reaches to `now` holds any more. */
  expire(now: Milliseconds, windowMs: Milliseconds): void {
    for (const [slot, units] of this.#slots) {
      if (this.#endOf(slot) + windowMs > now) continue;
      this.#slots.delete(slot);
      this.#sum -= units;
    }
  }

  /** Units are taken at `at`. */
  add(units: number, at: Milliseconds): void {
    const slot = Math.floor(at / SLOT_MS);
    this.#slots.set(slot, (this.#slots.get(slot) ?? 0) + units);
    this.#sum += units;
  }

  /** Units that were taken at about `at` were not used. */
  remove(units: number, at: Milliseconds): void {
    const slot = Math.floor(at / SLOT_MS);
    // The other side's clock may be a slot off.
    const near = [slot, slot - 1, slot + 1].find((one) =>
      (this.#slots.get(one) ?? 0) >= units
    );
    if (near === undefined) return;
    this.#slots.set(near, (this.#slots.get(near) ?? 0) - units);
    this.#sum -= units;
  }

  /**
   * When units can be added so that no span of `spanMs` holds more than
   * `limit`; Infinity: never. Spans may be shorter than the window.
   */
  roomAt(
    units: number,
    { limit, spanMs, now }: {
      readonly limit: number;
      readonly spanMs: Milliseconds;
      readonly now: Milliseconds;
    },
  ): Milliseconds {
    const slots = [...this.#slots]
      .filter(([slot]) => this.#endOf(slot) + spanMs > now)
      .sort(([one], [other]) => one - other);
    let sum = slots.reduce((total, [, taken]) => total + taken, 0);
    if (sum + units <= limit) return now;
    for (const [slot, taken] of slots) {
      sum -= taken;
      if (sum + units <= limit) return this.#endOf(slot) + spanMs;
    }
    return Infinity;
  }

  #endOf(slot: number): Milliseconds {
    return (slot + 1) * SLOT_MS;
  }
}
