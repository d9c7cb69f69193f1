/**
 * Measures the iterations of the event loop. What is handled late in a long
 * iteration has waited since its start, and timers wait until its end.
 */
import type { Milliseconds } from "../../util/units.ts";

/** What is read of an event loop. */
export type LoopTimes = {
  now(): Milliseconds;
  /** Total time for which the loop has waited for events. */
  idleMs(): Milliseconds;
};

/**
 * A loop that has waited for so long had nothing to read. Shorter waits are the
 * cost of asking for events.
 */
const MIN_WAIT_MS: Milliseconds = 1;

/** Measures iterations; {@link watchIterations} reports their ends. */
export class IterationMeter {
  readonly #loop: LoopTimes;
  #endedAt: Milliseconds;
  #idleMs: Milliseconds;
  #longestMs: Milliseconds = 0;
  #busyMs: Milliseconds = 0;
  #lastMs: Milliseconds = 0;

  constructor(loop: LoopTimes) {
    this.#loop = loop;
    this.#endedAt = loop.now();
    this.#idleMs = loop.idleMs();
  }

  /**
   * For how long the current iteration has been busy. A request that is read now
   * arrived before it began, so it has waited for this time at least.
   */
  get currentMs(): Milliseconds {
    return this.#busySinceEnd(this.#loop.now(), this.#loop.idleMs());
  }

  /**
   * How long ago an event came at most that is handled now. The loop asks for
   * events once an iteration, so one that came while the last iteration handled
   * others is handled in the current one, unless the loop has waited since.
   */
  get maxEventAgeMs(): Milliseconds {
    const waitedMs = this.#loop.idleMs() - this.#idleMs;
    return this.currentMs + (waitedMs < MIN_WAIT_MS ? this.#lastMs : 0);
  }

  /** Total time for which the loop has been busy. */
  get busyMs(): Milliseconds {
    return this.#busyMs;
  }

  /** Ends an iteration; returns for how long it was busy. */
  end(): Milliseconds {
    const now = this.#loop.now();
    const idleMs = this.#loop.idleMs();
    const lastedMs = this.#busySinceEnd(now, idleMs);
    this.#endedAt = now;
    this.#idleMs = idleMs;
    this.#busyMs += lastedMs;
    this.#lastMs = lastedMs;
    this.#longestMs = Math.max(this.#longestMs, lastedMs);
    return lastedMs;
  }

  #busySinceEnd(now: Milliseconds, idleMs: Milliseconds): Milliseconds {
    return Math.max(0, now - this.#endedAt - (idleMs - this.#idleMs));
  }

  /** The longest iteration since the last call. */
  takeLongestMs(): Milliseconds {
    const longestMs = Math.max(this.#longestMs, this.currentMs);
    this.#longestMs = 0;
    return longestMs;
  }
}

/**
 * Calls `onEnd` at the end of each iteration, before the loop waits for events.
 * It doesn't keep the loop from waiting, nor the process from exiting.
 */
export function watchIterations(onEnd: () => void): () => void {
  let isWatching = true;
  const schedule = () => {
    setImmediate(() => {
      if (!isWatching) return;
      onEnd();
      schedule();
    }).unref();
  };
  schedule();
  return () => {
    isWatching = false;
  };
}
