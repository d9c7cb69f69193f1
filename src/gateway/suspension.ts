/**
 * Detects that the machine was suspended. The monotonic clock stops during a
 * suspension, so cached data appears younger than it is, while the wall clock
 * continues. A forward step of the wall clock is treated as a suspension as
 * well: this only causes an extra refresh, whereas a missed suspension could
 * accept a key that was revoked in the meantime.
 */
import type { Milliseconds } from "../util/units.ts";

/**
 * The wall clock must gain more than this on the monotonic clock between two
 * checks. Well above the drift of a slewed clock (500 ppm), and below the
 * safety margins of cache TTLs (at least one second).
 */
const MIN_SUSPENSION_MS = 200;

/** Options of {@link SuspensionWatch}. */
export type SuspensionWatchOptions = {
  /** Reads the monotonic clock. */
  readonly monotonicNow: () => Milliseconds;
  /** Reads the wall clock. */
  readonly wallClockNow: () => Milliseconds;
};

/** Receives the estimated duration of the suspension. */
export type SuspensionListener = (forMs: Milliseconds) => void;

/** Detects suspensions by comparing the two clocks on each check. */
export class SuspensionWatch {
  readonly #options: SuspensionWatchOptions;
  readonly #listeners: SuspensionListener[] = [];
  #offsetMs: Milliseconds;
  #count = 0;

  constructor(options: SuspensionWatchOptions) {
    this.#options = options;
    this.#offsetMs = options.wallClockNow() - options.monotonicNow();
  }

  /** Calls `listener` after each suspension, within {@link check}. */
  addListener(listener: SuspensionListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Returns the number of suspensions so far. Call it before using the age of
   * cached data, and before and after an operation whose duration matters.
   */
  check(): number {
    const offsetMs = this.#options.wallClockNow() -
      this.#options.monotonicNow();
    const forMs = offsetMs - this.#offsetMs;
    this.#offsetMs = offsetMs;
    if (forMs <= MIN_SUSPENSION_MS) return this.#count;
    this.#count += 1;
    for (const listener of this.#listeners) listener(forMs);
    return this.#count;
  }
}
