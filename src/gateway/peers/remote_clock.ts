/** Moments that another host tells, in terms of this host's clock. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * Two monotonic clocks are taken to drift apart by this much at most, as a
 * share of the time passed: five times what quartz without any correction does
 * (100 ppm).
 */
const MOST_DRIFT = 500e-6;

/** What a host has heard of another's clock. */
export type ClockEcho = {
  /** When something was sent, by the clock of its sender. */
  readonly sentAt: Milliseconds;
  /** When it was heard, by the clock of its hearer. */
  readonly heardAt: Milliseconds;
};

type Bound = { readonly offsetMs: Milliseconds; readonly at: Milliseconds };

/**
 * Another host's clock. A message may lie in buffers for seconds, and either
 * host may stand still, so the time at which it comes says little. But what was
 * sent at `sentAt` here was heard later: the other's clock showed `heardAt` at a
 * moment that was not before `sentAt`.
 */
export class RemoteClock {
  /** The least that this host's clock is ahead of the other's. */
  #least: Bound | undefined;

  /** Takes an echo of what this host has sent. */
  note({ sentAt, heardAt }: ClockEcho, now: Milliseconds): void {
    const offsetMs: Milliseconds = sentAt - heardAt;
    if (this.#offsetAt(now) > offsetMs) return;
    this.#least = { offsetMs, at: now };
  }

  /**
   * This host's clock stood still: it is less far ahead than it was, and what was
   * heard of the other's clock before would make its moments seem too late.
   */
  forget(): void {
    this.#least = undefined;
  }

  /**
   * A moment of the other's clock by this host's, never later than it truly
   * was, earlier by the time that an echoed message took; undefined before the
   * first echo.
   */
  toLocal(moment: Milliseconds, now: Milliseconds): Milliseconds | undefined {
    return this.#least && moment + this.#offsetAt(now);
  }

  #offsetAt(now: Milliseconds): Milliseconds {
    if (!this.#least) return -Infinity;
    const { offsetMs, at } = this.#least;
    return offsetMs - (now - at) * MOST_DRIFT;
  }
}
