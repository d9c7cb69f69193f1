/**
 * Bounds the time that a host spends on responses that arrive faster than they
 * can be forwarded. Without a bound, the requests of other callers would wait for
 * all of them in each turn of the event loop.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Share of the time for long reads; a host may have a third of a core. */
const SHARE = 0.2;
/** Long reads for this time in a row are not delayed. */
const BURST_MS: Milliseconds = 20;
/**
 * At most this is made up for: the process may have been suspended during a read,
 * or many responses may have begun at once.
 */
const MAX_DEBT_MS: Milliseconds = 100;

/** A reader that was told to wait. */
type Waiting = {
  readonly resume: () => void;
  /** What reading its response has taken so far. */
  readonly spentMs: Milliseconds;
};

/** Decides which of the long reads of a process wait, and how long. */
export class ReadPacer {
  /** Time that is left for long reads; negative: it is used up. */
  #leftMs = BURST_MS;
  #updatedAt: Milliseconds = 0;
  readonly #waiting = new Set<Waiting>();
  /** Whether the next turn is that of the reader that has waited longest. */
  #isLongestNext = false;

  /** Records the time that a read took; returns whether the next one must wait. */
  charge(tookMs: Milliseconds, now: Milliseconds): boolean {
    this.#update(now);
    this.#leftMs = Math.max(-MAX_DEBT_MS, this.#leftMs - tookMs);
    return this.#leftMs < 0;
  }

  /**
   * Adds a reader that waits, with the time that its response has taken so far;
   * returns how to remove it.
   */
  wait(resume: () => void, spentMs: Milliseconds = 0): () => void {
    const waiting = { resume, spentMs };
    this.#waiting.add(waiting);
    return () => void this.#waiting.delete(waiting);
  }

  /** Time until a reader may go on; undefined: none waits. */
  delayMs(now: Milliseconds): Milliseconds | undefined {
    if (this.#waiting.size === 0) return undefined;
    this.#update(now);
    return Math.max(0, -this.#leftMs / SHARE);
  }

  /**
   * Lets a reader go on if there is time left: in turns the one whose response
   * has taken least, so that a listing doesn't wait for all that never end, and
   * the one that has waited longest.
   */
  resumeNext(now: Milliseconds): void {
    this.#update(now);
    const [longest] = this.#waiting;
    if (!longest || this.#leftMs < 0) return;
    const next = this.#isLongestNext ? longest : this.#shortestAfter(longest);
    this.#isLongestNext = !this.#isLongestNext;
    this.#waiting.delete(next);
    next.resume();
  }

  #shortestAfter(first: Waiting): Waiting {
    let shortest = first;
    for (const waiting of this.#waiting) {
      if (waiting.spentMs < shortest.spentMs) shortest = waiting;
    }
    return shortest;
  }

  #update(now: Milliseconds): void {
    const gainedMs = Math.max(0, now - this.#updatedAt) * SHARE;
    this.#leftMs = Math.min(BURST_MS, this.#leftMs + gainedMs);
    this.#updatedAt = now;
  }
}
