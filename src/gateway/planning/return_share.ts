/**
 * Limits how many callers that retry without a booked place go before new
 * requests. Without a limit, the retries of a long overload would take all of
 * the room, and no request would be in time at its first attempt.
 */
import type { Milliseconds } from "../../util/units.ts";
import { DecayingSum } from "./decaying_sum.ts";

/** Time constant in which requests are counted. */
const WINDOW_MS: Milliseconds = 2000;
/** Share of the requests of a service that are favoured at most. */
const FAVOURED_SHARE = 0.05;

type Counts = { readonly all: DecayingSum; readonly favoured: DecayingSum };

/** Counts the requests of all services. */
export class ReturnShare {
  readonly #counts = new Map<string, Counts>();

  /** Counts a request; returns whether it goes before new ones. */
  mayFavour(
    service: string,
    wasRefused: boolean,
    now: Milliseconds,
  ): boolean {
    const { all, favoured } = this.#countsOf(service);
    all.add(1, now, WINDOW_MS);
    if (!wasRefused) return false;
    const limit = all.at(now, WINDOW_MS) * FAVOURED_SHARE;
    if (favoured.at(now, WINDOW_MS) >= limit) return false;
    favoured.add(1, now, WINDOW_MS);
    return true;
  }

  #countsOf(service: string): Counts {
    const known = this.#counts.get(service);
    if (known) return known;
    const counts = { all: new DecayingSum(), favoured: new DecayingSum() };
    this.#counts.set(service, counts);
    return counts;
  }
}
