/** Tells which deltas of a reader are verified. */
import type { ListingDelta } from "../replicas/model.ts";

/**
 * The deltas of one link. Readers with digests send one with the first delta of a
 * link. Those of an earlier version send none, and don't tell whether their
 * listing is the store's.
 */
export class ListingSource {
  #hasDigests = false;

  /** Returns the delta, marked if it isn't verified. */
  mark(delta: ListingDelta): ListingDelta {
    this.#hasDigests ||= delta.digest !== undefined;
    return this.#hasDigests ? delta : { ...delta, isUnverified: true };
  }
}
