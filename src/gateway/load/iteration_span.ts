/**
 * How long a state of the event loop has lasted, by its iterations. The longest
 * is left out: it may be a pause of the process, after which the loop works off
 * what has arrived meanwhile.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Adds up iterations until it is cleared. */
export class IterationSpan {
  #totalMs: Milliseconds = 0;
  #longestMs: Milliseconds = 0;

  /** The time that has been added, without the longest iteration. */
  get lengthMs(): Milliseconds {
    return this.#totalMs - this.#longestMs;
  }

  /** Adds an iteration. */
  add(lastedMs: Milliseconds): void {
    this.#totalMs += lastedMs;
    this.#longestMs = Math.max(this.#longestMs, lastedMs);
  }

  /** Starts again. */
  clear(): void {
    this.#totalMs = 0;
    this.#longestMs = 0;
  }
}
