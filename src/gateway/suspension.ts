/**
 * Detects that the machine was suspended. The monotonic clock stops during a
 * suspension, so cached data appears younger than it is, while the wall clock
 * continues. A forward step of the wall clock is treated as a suspension as
 * well: this only causes an extra refresh, whereas a missed suspension could
 * accept a key that was revoked in the meantime. Deadlines move only if a clock
 * that counts suspensions confirms it, since a step would cut requests short.
 */
import type { Milliseconds } from "../util/units.ts";
import { SleepMeter } from "./sleep_meter.ts";

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
  /** Reads a clock that counts suspensions; undefined if there is none. */
  readonly bootNow?: () => Milliseconds | undefined;
};

/**
 * Receives the duration of a suspension; it is confirmed if the machine surely
 * slept, and estimated otherwise.
 */
export type SuspensionListener = (
  forMs: Milliseconds,
  isConfirmed: boolean,
) => void;

type Suspension = {
  readonly forMs: Milliseconds;
  readonly isConfirmed: boolean;
};

/** Detects suspensions by comparing clocks on each check. */
export class SuspensionWatch {
  readonly #options: SuspensionWatchOptions;
  readonly #meter: SleepMeter;
  readonly #listeners: SuspensionListener[] = [];
  /** Detected, but not reported to the listeners yet. */
  #unreported: Suspension[] = [];
  #offsetMs: Milliseconds;
  #sleptMs: Milliseconds = 0;
  #count = 0;

  constructor(options: SuspensionWatchOptions) {
    this.#options = options;
    this.#offsetMs = options.wallClockNow() - options.monotonicNow();
    const { monotonicNow, bootNow = () => undefined } = options;
    this.#meter = new SleepMeter({ monotonicNow, bootNow });
  }

  /** Calls `listener` after each suspension, within {@link check}. */
  addListener(listener: SuspensionListener): void {
    this.#listeners.push(listener);
  }

  /** The monotonic time, with the time that the machine surely slept. */
  elapsedNow(): Milliseconds {
    const monotonicMs = this.#options.monotonicNow();
    this.#compare(monotonicMs);
    return monotonicMs + this.#sleptMs;
  }

  /**
   * Returns the number of suspensions so far. Call it before using the age of
   * cached data, and before and after an operation whose duration matters.
   */
  check(): number {
    this.#compare(this.#options.monotonicNow());
    this.#report();
    return this.#count;
  }

  /**
   * Checks the clocks that {@link check} reads only when it is in doubt. Call it
   * about once a second.
   */
  checkAll(): void {
    this.check();
    const sleptMs = this.#meter.take() ?? 0;
    if (sleptMs <= MIN_SUSPENSION_MS) return;
    // The wall clock disagrees: it was set back, or the other clock is wrong.
    this.#meter.distrust();
    this.#note({ forMs: sleptMs, isConfirmed: false });
    this.#report();
  }

  #compare(monotonicMs: Milliseconds): void {
    const offsetMs = this.#options.wallClockNow() - monotonicMs;
    const gainedMs = offsetMs - this.#offsetMs;
    this.#offsetMs = offsetMs;
    if (gainedMs <= MIN_SUSPENSION_MS) return;
    const sleptMs = this.#meter.take() ?? 0;
    const isConfirmed = sleptMs > 0;
    this.#sleptMs += sleptMs;
    this.#note({ forMs: isConfirmed ? sleptMs : gainedMs, isConfirmed });
  }

  #note(suspension: Suspension): void {
    this.#count += 1;
    this.#unreported.push(suspension);
  }

  #report(): void {
    const suspensions = this.#unreported;
    this.#unreported = [];
    for (const { forMs, isConfirmed } of suspensions) {
      for (const listener of this.#listeners) listener(forMs, isConfirmed);
    }
  }
}
