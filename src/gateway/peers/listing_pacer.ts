/** Limits how many full listings a host sends to peers that request its state. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * Entries that are sent in full listings, a second: some 1.2 MB. When all hosts
 * of a fleet start, they know only the seeds of their settings at first, and
 * the few seeds would otherwise send the listing to all of them.
 */
const ENTRIES_PER_SECOND = 5000;

/** Decides when a full listing may be sent. */
export class ListingPacer {
  #freeAt: Milliseconds = -Infinity;

  /**
   * Whether a listing of `size` replicas may be sent at `now`. The next one has
   * to wait longer the larger this one is.
   */
  take(size: number, now: Milliseconds): boolean {
    if (now < this.#freeAt) return false;
    this.#freeAt = now + size * 1000 / ENTRIES_PER_SECOND;
    return true;
  }
}
