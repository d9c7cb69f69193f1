/**
 * Tracks owners that did not respond, and halls that are probably unreachable.
 */
import type { HallId, HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/**
 * Time for which an owner that did not respond is skipped. Short, because a
 * host that acts as its own owner may grant only a small share of each account.
 */
const SUSPECT_TTL_MS: Milliseconds = 800;
/** A hall with at least this many suspects is assumed to be unreachable. */
const MIN_SUSPECTS_OF_UNREACHABLE_HALL = 2;

type Suspect = { readonly until: Milliseconds; readonly hall: HallId };

/** Hosts that are not considered as owners for a limited time. */
export class Suspects {
  readonly #localHall: HallId;
  readonly #suspects = new Map<HostId, Suspect>();

  /** The host's own hall, `localHall`, is never assumed to be unreachable. */
  constructor(localHall: HallId) {
    this.#localHall = localHall;
  }

  /** Marks a host that did not respond as suspect. */
  add(id: HostId, hall: HallId, now: Milliseconds): void {
    this.#suspects.set(id, { until: now + SUSPECT_TTL_MS, hall });
  }

  has(id: HostId): boolean {
    return this.#suspects.has(id);
  }

  /**
   * Removes expired suspects and returns the halls that are assumed to be
   * unreachable. All hosts of such a hall are skipped at once; trying them one
   * by one would delay the pending requests by a link timeout each.
   */
  unreachableHalls(now: Milliseconds): ReadonlySet<HallId> {
    const counts = new Map<HallId, number>();
    for (const [id, { until, hall }] of this.#suspects) {
      if (until <= now) this.#suspects.delete(id);
      else counts.set(hall, (counts.get(hall) ?? 0) + 1);
    }
    counts.delete(this.#localHall);
    const isUnreachable = ([, count]: [HallId, number]) =>
      count >= MIN_SUSPECTS_OF_UNREACHABLE_HALL;
    return new Set([...counts].filter(isUnreachable).map(([hall]) => hall));
  }
}
