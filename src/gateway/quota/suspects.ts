/** Owners that did not answer, and halls that seem to be cut off. */
import type { HallId, HostId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";

/**
 * An owner that was left is not tried again for this time. A host alone has a
 * small part of each account, so a live owner is soon tried.
 */
const SUSPECT_MS: Milliseconds = 800;
/** A hall in which so many hosts don't answer is most likely cut off. */
const SUSPECTS_OF_CUT = 2;

type Suspect = { readonly until: Milliseconds; readonly hall: HallId };

/** Hosts that are passed over as owners for a while. */
export class Suspects {
  readonly #hall: HallId;
  readonly #suspects = new Map<HostId, Suspect>();

  /** `hall` is the one that can't be cut off from here. */
  constructor(hall: HallId) {
    this.#hall = hall;
  }

  /** The host did not answer. */
  add(id: HostId, hall: HallId, now: Milliseconds): void {
    this.#suspects.set(id, { until: now + SUSPECT_MS, hall });
  }

  /** Whether the host is passed over. */
  has(id: HostId): boolean {
    return this.#suspects.has(id);
  }

  /**
   * Halls that seem to be cut off from this one, once those that are trusted
   * again are forgotten. Their hosts are passed over together: each would cost
   * the requests that wait the time in which a link is found dead.
   */
  cutHalls(now: Milliseconds): ReadonlySet<HallId> {
    const counts = new Map<HallId, number>();
    for (const [id, { until, hall }] of this.#suspects) {
      if (until <= now) this.#suspects.delete(id);
      else counts.set(hall, (counts.get(hall) ?? 0) + 1);
    }
    counts.delete(this.#hall);
    const isCut = ([, count]: [HallId, number]) => count >= SUSPECTS_OF_CUT;
    return new Set([...counts].filter(isCut).map(([hall]) => hall));
  }
}
