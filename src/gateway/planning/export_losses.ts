/**
 * Prefill replicas whose finished prefills are lost before a decode replica has
 * fetched them. Each call to such a replica succeeds, but the prefill is wasted,
 * so failed calls alone don't reveal it.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Losses in a row before a replica is avoided. */
const LOSSES_TO_AVOID = 2;
/** First time that it is avoided; doubles with each further loss. */
const AVOID_MS = 1000;
const LONGEST_MS = 8000;

type Losses = { inRow: number; until: Milliseconds };

/** Counts losses in a row by replica. */
export class ExportLosses {
  readonly #losses = new Map<string, Losses>();

  /** Whether the replica is to be avoided now. */
  avoided(replica: string, now: Milliseconds): boolean {
    return now < (this.#losses.get(replica)?.until ?? 0);
  }

  /** A prefill that was done there was lost. */
  noteLost(replica: string, now: Milliseconds): void {
    const losses = this.#losses.get(replica) ?? { inRow: 0, until: 0 };
    losses.inRow += 1;
    this.#losses.set(replica, losses);
    if (losses.inRow < LOSSES_TO_AVOID) return;
    const doublings = Math.min(8, losses.inRow - LOSSES_TO_AVOID);
    losses.until = now + Math.min(LONGEST_MS, AVOID_MS * 2 ** doublings);
  }

  /** A prefill that was done there was used. */
  noteKept(replica: string): void {
    this.#losses.delete(replica);
  }
}
