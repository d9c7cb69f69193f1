/**
 * Notices that the machine was suspended. The steady clock stands still while it
 * is, so whatever this process measures by it seems younger than it is; the time
 * of day goes on. A step of the time of day looks the same: then beliefs are
 * renewed without need, which costs a host a few calls and the requests with keys
 * of some hundred milliseconds, where trusting them could serve a key that was
 * taken away meanwhile.
 */
import type { Milliseconds } from "../util/units.ts";

/**
 * A lead of the time of day over the steady clock that grows by more than this
 * between two looks: well above what a slewed clock gains (500 ppm), below the
 * margins of the bounds on beliefs (a second and more).
 */
const LEAST_MS = 200;

/** What a watch reads, and whom it tells. */
export type SuspensionSource = {
  /** The steady clock. */
  readonly steadyNow: () => Milliseconds;
  /** The time of day. */
  readonly dayNow: () => Milliseconds;
};

/** Told how long the machine seems to have been suspended. */
export type SuspensionListener = (forMs: Milliseconds) => void;

/** Compares the two clocks whenever it is asked. */
export class SuspensionWatch {
  readonly #source: SuspensionSource;
  readonly #listeners: SuspensionListener[] = [];
  #leadMs: Milliseconds;
  #count = 0;

  constructor(source: SuspensionSource) {
    this.#source = source;
    this.#leadMs = source.dayNow() - source.steadyNow();
  }

  /** Calls `listener` after each suspension, before anything is decided. */
  listen(listener: SuspensionListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Suspensions so far. To be called before a belief's age is used, and around
   * whatever counts from the moment at which it began.
   */
  check(): number {
    const leadMs = this.#source.dayNow() - this.#source.steadyNow();
    const forMs = leadMs - this.#leadMs;
    this.#leadMs = leadMs;
    if (forMs <= LEAST_MS) return this.#count;
    this.#count += 1;
    for (const listener of this.#listeners) listener(forMs);
    return this.#count;
  }
}
