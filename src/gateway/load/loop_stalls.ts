/**
 * Tells whether the event loop has stood still: whatever happened meanwhile at
 * other processes is read as if it had just happened.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";

const TICK_INTERVAL_MS: Milliseconds = 100;
/**
 * A longer time between two ticks is a stall. Processor quotas cause shorter
 * ones, and a process that has ended takes longer to be started again.
 */
const MAX_TICK_MS: Milliseconds = 250;
/** Within this time the loop reads what has arrived during a stall. */
const CATCH_UP_MS: Milliseconds = 250;

/** Records the stalls of one event loop. */
export class LoopStalls {
  readonly #clock: Clock;
  #tickedAt: Milliseconds | undefined;
  #stalledUntil: Milliseconds = -Infinity;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Starts ticking; returns a function that stops it. */
  start(): () => void {
    let cancel = () => {};
    const tick = () => {
      this.#check();
      this.#tickedAt = this.#clock.now();
      cancel = this.#clock.after(TICK_INTERVAL_MS, tick);
    };
    tick();
    return () => cancel();
  }

  /** Whether the loop has stood still, or caught up, at any moment since `at`. */
  hasStalledSince(at: Milliseconds): boolean {
    this.#check();
    return this.#stalledUntil + CATCH_UP_MS >= at;
  }

  /**
   * Time since the loop last caught up with a stall, 0 if it still does;
   * undefined if there was none.
   */
  lastAgeMs(): Milliseconds | undefined {
    this.#check();
    if (!Number.isFinite(this.#stalledUntil)) return undefined;
    const caughtUpAt = this.#stalledUntil + CATCH_UP_MS;
    return Math.max(0, this.#clock.now() - caughtUpAt);
  }

  /** After a stall, some of what has arrived is read before the next tick. */
  #check(): void {
    const now = this.#clock.now();
    const isStalled = now - (this.#tickedAt ?? now) > MAX_TICK_MS;
    if (isStalled) this.#stalledUntil = now;
  }
}
