/**
 * Measures for how long the machine slept, by a clock that counts suspensions
 * and never steps. A container may show the clock of another machine, or one
 * that runs at another rate, so the clock counts only after it has run in step
 * with the monotonic clock.
 */
import type { Milliseconds } from "../util/units.ts";

/** Resolution of the clock, 10 ms on Linux, and delays between two readings. */
const TOLERANCE_MS = 50;
/** A pair of readings that takes longer is too inexact. */
const MAX_READING_MS = 20;
const MAX_READINGS = 3;
/** The clocks must have run in step for this time. */
const MIN_IN_STEP_MS = 60_000;

/** Options of {@link SleepMeter}. */
export type SleepMeterOptions = {
  /** Reads the monotonic clock, which stops while the machine sleeps. */
  readonly monotonicNow: () => Milliseconds;
  /** Reads the clock that counts suspensions; undefined if there is none. */
  readonly bootNow: () => Milliseconds | undefined;
};

/** Compares the two clocks. */
export class SleepMeter {
  readonly #options: SleepMeterOptions;
  #offsetMs: Milliseconds | undefined;
  #inStepSince: Milliseconds = Infinity;

  constructor(options: SleepMeterOptions) {
    this.#options = options;
    this.#offsetMs = this.#readOffset();
    this.distrust();
  }

  /**
   * Time slept since the last call; undefined while that can't be told. Call it
   * about once a second, so that a clock that isn't in step is noticed.
   */
  take(): Milliseconds | undefined {
    const offsetMs = this.#readOffset();
    if (offsetMs === undefined) return undefined;
    const isTrusted = this.#isTrusted();
    const sleptMs = offsetMs - (this.#offsetMs ?? offsetMs);
    if (Math.abs(sleptMs) <= TOLERANCE_MS) return isTrusted ? 0 : undefined;
    this.#offsetMs = offsetMs;
    if (isTrusted && sleptMs > 0) return sleptMs;
    this.distrust();
    return undefined;
  }

  /** Ignores the clock until it has run in step again. */
  distrust(): void {
    this.#inStepSince = this.#options.monotonicNow();
  }

  #isTrusted(): boolean {
    return this.#options.monotonicNow() - this.#inStepSince >= MIN_IN_STEP_MS;
  }

  #readOffset(): Milliseconds | undefined {
    const { monotonicNow, bootNow } = this.#options;
    for (let readings = 0; readings < MAX_READINGS; readings++) {
      const startedAt = monotonicNow();
      const bootMs = bootNow();
      if (bootMs === undefined) return undefined;
      if (monotonicNow() - startedAt <= MAX_READING_MS) {
        return bootMs - startedAt;
      }
    }
    return undefined;
  }
}
