/** Records what was acquired from an account in the last window. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * Resolution of the recorded times. Units may count for up to one slot longer
 * than the window.
 */
const SLOT_MS = 250;

/** Units by the time at which they were acquired. */
export class WindowLog {
  readonly #slots = new Map<number, number>();
  #sum = 0;

  /** Units in the last window; exact after {@link expire}. */
  get sum(): number {
    return this.#sum;
  }

  /** Removes units that are older than the window. */
  expire(now: Milliseconds, windowMs: Milliseconds): void {
    for (const [slot, units] of this.#slots) {
      if (this.#endOf(slot) + windowMs > now) continue;
      this.#slots.delete(slot);
      this.#sum -= units;
    }
  }

  /** Records units as acquired at `at`. */
  add(units: number, at: Milliseconds): void {
    const slot = Math.floor(at / SLOT_MS);
    this.#slots.set(slot, (this.#slots.get(slot) ?? 0) + units);
    this.#sum += units;
  }

  /** Removes units that were acquired at about `at` and not used. */
  remove(units: number, at: Milliseconds): void {
    const slot = Math.floor(at / SLOT_MS);
    // The time comes from another host and may be off by one slot.
    const near = [slot, slot - 1, slot + 1].find((candidate) =>
      (this.#slots.get(candidate) ?? 0) >= units
    );
    if (near === undefined) return;
    this.#slots.set(near, (this.#slots.get(near) ?? 0) - units);
    this.#sum -= units;
  }

  /**
   * The earliest time at which units can be added without exceeding `limit` in
   * any span of `spanMs`; Infinity if there is none. The span may be shorter
   * than the window.
   */
  availableAt(
    units: number,
    { limit, spanMs, now }: {
      readonly limit: number;
      readonly spanMs: Milliseconds;
      readonly now: Milliseconds;
    },
  ): Milliseconds {
    const slots = [...this.#slots]
      .filter(([slot]) => this.#endOf(slot) + spanMs > now)
      .sort(([a], [b]) => a - b);
    let sum = slots.reduce((total, [, acquired]) => total + acquired, 0);
    if (sum + units <= limit) return now;
    for (const [slot, acquired] of slots) {
      sum -= acquired;
      if (sum + units <= limit) return this.#endOf(slot) + spanMs;
    }
    return Infinity;
  }

  /**
   * Units that must be available now, so that `perMs` more can be added at any
   * time within `spanMs` as the recorded ones leave the span.
   */
  shortfall(
    perMs: number,
    { spanMs, now }: {
      readonly spanMs: Milliseconds;
      readonly now: Milliseconds;
    },
  ): number {
    const slots = [...this.#slots]
      .filter(([slot]) => this.#endOf(slot) + spanMs > now)
      .sort(([a], [b]) => a - b);
    let left = 0;
    let most = 0;
    for (const [slot, acquired] of slots) {
      const leavesInMs = Math.min(spanMs, this.#endOf(slot) + spanMs - now);
      most = Math.max(most, perMs * leavesInMs - left);
      left += acquired;
    }
    return Math.max(most, perMs * spanMs - left);
  }

  #endOf(slot: number): Milliseconds {
    return (slot + 1) * SLOT_MS;
  }
}
