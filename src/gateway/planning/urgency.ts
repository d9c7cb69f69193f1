/** The priorities of the requests that a service received recently. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * A priority counts as present for this long after its last request: twice the
 * interval of a kind of request that comes once a second.
 */
const PRESENT_MS = 2000;

/** The last request of each priority, by service. */
export class Urgency {
  readonly #lastAt = new Map<string, Map<number, Milliseconds>>();

  /** A request of that priority came. */
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
      if (other < priority && now - at <= PRESENT_MS) return true;
    }
    return false;
  }
}
