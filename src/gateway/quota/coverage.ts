/**
 * Computes the share of the fleet's hosts that request quota from this owner.
 */
import type { HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

const SHARE_TTL_MS = 100;

type Member = {
  /** Start time of the member's process, by this host's clock. */
  readonly startedAt: Milliseconds;
};

/**
 * The hosts that have chosen this host as the owner of one shard. The owner
 * grants only this share of each limit: in a network partition each side has an
 * owner of its own, and together they must not exceed the limit.
 *
 * A member reports what it acquired in the last window. A member that started
 * within the window has lost what its previous process acquired, so it counts
 * only in part.
 */
export class Coverage {
  readonly #members = new Map<HostId, Member>();
  #share = 0;
  /** When the first of the present members joined. */
  #since: Milliseconds = Infinity;
  #computedAt: Milliseconds = -Infinity;

  /** Adds a host whose process has run for `upMs`. */
  add(host: HostId, upMs: Milliseconds, now: Milliseconds): void {
    if (this.#members.size === 0) this.#since = now;
    this.#members.set(host, { startedAt: now - upMs });
    this.#computedAt = -Infinity;
  }

  remove(host: HostId): void {
    this.#members.delete(host);
    this.#computedAt = -Infinity;
  }

  /** Time for which there have been members without interruption. */
  ownedMs(now: Milliseconds): Milliseconds {
    return this.#members.size > 0 ? now - this.#since : 0;
  }

  /** Share of the known hosts that are members, from 0 to 1. */
  shareAt(
    now: Milliseconds,
    fleet: { readonly hosts: number; readonly windowMs: Milliseconds },
  ): number {
    if (now - this.#computedAt < SHARE_TTL_MS) return this.#share;
    this.#computedAt = now;
    let sum = 0;
    for (const { startedAt } of this.#members.values()) {
      sum += Math.min(1, (now - startedAt) / fleet.windowMs);
    }
    this.#share = Math.min(1, sum / Math.max(1, fleet.hosts));
    return this.#share;
  }
}
