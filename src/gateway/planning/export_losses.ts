/**
 * Detects prefill replicas whose exports are lost before a decode replica has
 * fetched them. Calls to such a replica succeed but the prefills are wasted, so
 * counting failed calls doesn't reveal it.
 */
import type { Milliseconds } from "../../util/units.ts";

/** Consecutive losses before a replica is avoided. */
const MIN_LOSSES_TO_AVOID = 2;
/** First time that it is avoided; doubles with each further loss. */
const INITIAL_AVOID_MS = 1000;
const MAX_AVOID_MS = 8000;

type Losses = { consecutive: number; avoidedUntil: Milliseconds };

/** Counts consecutive losses by replica. */
export class ExportLosses {
  readonly #losses = new Map<string, Losses>();

  /** Whether the replica is currently avoided. */
  isAvoided(replica: string, now: Milliseconds): boolean {
    return now < (this.#losses.get(replica)?.avoidedUntil ?? 0);
  }

  /** Records that an export of the replica was lost. */
  noteLost(replica: string, now: Milliseconds): void {
    const losses = this.#losses.get(replica) ??
      { consecutive: 0, avoidedUntil: 0 };
    losses.consecutive += 1;
    this.#losses.set(replica, losses);
    if (losses.consecutive < MIN_LOSSES_TO_AVOID) return;
    const doublings = Math.min(8, losses.consecutive - MIN_LOSSES_TO_AVOID);
    losses.avoidedUntil = now +
      Math.min(MAX_AVOID_MS, INITIAL_AVOID_MS * 2 ** doublings);
  }

  /** Records that an export of the replica was used. */
  noteUsed(replica: string): void {
    this.#losses.delete(replica);
  }
}
