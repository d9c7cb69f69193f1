/** Tracks the priorities of the requests that a service received recently. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * How long after its last request a priority counts as present: covers
 * priorities with one request per second.
 */
const RECENT_MS = 2000;

/** Time of the last request of each priority, by service. */
export class RecentPriorities {
  readonly #lastAt = new Map<string, Map<number, Milliseconds>>();

  /** Records a request. */
  note(service: string, priority: number, now: Milliseconds): void {
    const known = this.#lastAt.get(service);
    if (known) known.set(priority, now);
    else this.#lastAt.set(service, new Map([[priority, now]]));
  }

  /** Whether the service received more urgent requests recently. */
  hasMoreUrgent(
    service: string,
    priority: number,
    now: Milliseconds,
  ): boolean {
    for (const [other, at] of this.#lastAt.get(service) ?? []) {
      if (other < priority && now - at <= RECENT_MS) return true;
    }
    return false;
  }
}
