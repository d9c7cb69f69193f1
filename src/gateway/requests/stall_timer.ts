/** Notices that nothing more of a response arrives. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";

/** Options of {@link StallTimer}. */
export type StallTimerOptions = {
  readonly clock: Clock;
  readonly stallMs: Milliseconds;
  /** Called whenever `stallMs` have passed since the last restart. */
  readonly onStalled: () => void;
};

/** Measures the time since the last part of one response. */
export class StallTimer {
  readonly #options: StallTimerOptions;
  #restartedAt: Milliseconds = 0;
  /** Cancels the pending timer. */
  #cancel: (() => void) | undefined;
  #hasEnded = false;

  constructor(options: StallTimerOptions) {
    this.#options = options;
  }

  /** Starts, or starts again from zero. */
  restart(): void {
    if (this.#hasEnded) return;
    const { clock, stallMs } = this.#options;
    this.#restartedAt = clock.now();
    // A pending timer stays: a new one for each part would cost more.
    if (!this.#cancel) this.#wait(stallMs);
  }

  /** Stops until the next restart. */
  pause(): void {
    this.#cancel?.();
    this.#cancel = undefined;
  }

  /** Stops for good: a response can be resumed after its end. */
  end(): void {
    this.#hasEnded = true;
    this.pause();
  }

  #wait(delayMs: Milliseconds): void {
    this.#cancel = this.#options.clock.after(delayMs, () => this.#check());
  }

  #check(): void {
    const { clock, stallMs, onStalled } = this.#options;
    const leftMs = this.#restartedAt + stallMs - clock.now();
    if (leftMs > 0) return this.#wait(leftMs);
    this.#cancel = undefined;
    this.restart();
    onStalled();
  }
}
