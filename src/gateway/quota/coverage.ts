/** Which part of the fleet's hosts takes its quotas from this owner. */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/** The share is worked out anew after this time, in milliseconds. */
const FRESH_MS = 100;

type Member = {
  /** When its process began. */
  readonly startedAt: Milliseconds;
};

/**
 * The hosts that name this host as the owner of one shard. The owner gives out
 * only as much of each limit as its part of the fleet: when the fleet is split,
 * each side has its own owner, and together they give what one would.
 *
 * A member tells what it took in the last window. One that began within it has
 * forgotten what its earlier process took, so it counts in part.
 */
export class Coverage {
  readonly #members = new Map<HostId, Member>();
  #share = 0;
  #at: Milliseconds = -Infinity;

  /** A host names this one; its process has run for `upMs`. */
  add(host: HostId, upMs: Milliseconds, now: Milliseconds): void {
    this.#members.set(host, { startedAt: now - upMs });
    this.#at = -Infinity;
  }

  /** A host names this one no more. */
  remove(host: HostId): void {
    this.#members.delete(host);
    this.#at = -Infinity;
  }

  /** Part of the known hosts that are members, from 0 to 1. */
  shareAt(
    now: Milliseconds,
    fleet: { readonly hosts: number; readonly windowMs: Milliseconds },
  ): number {
    if (now - this.#at < FRESH_MS) return this.#share;
    this.#at = now;
    let sum = 0;
    for (const { startedAt } of this.#members.values()) {
      sum += Math.min(1, (now - startedAt) / fleet.windowMs);
    }
    this.#share = Math.min(1, sum / Math.max(1, fleet.hosts));
    return this.#share;
  }
}
