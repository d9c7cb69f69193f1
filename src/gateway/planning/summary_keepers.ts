/**
 * Chooses the hosts that keep a summary of a planner's estimates, and when the
 * next one is due. Hosts in several halls, because the hosts that go on after a
 * loss or a cut are not known in advance.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";

/** Number of hosts that keep a summary of one service. */
const MAX_KEEPERS = 3;
/** A host that has sent no request for this long is replaced. */
const IDLE_MS = 10_000;
/** Shortest interval between two summaries of a service. */
const MIN_INTERVAL_MS = 2000;
/** Bytes of summaries of one service in a second, to all keepers together. */
const MAX_BYTES_PER_S = 1000;
const MAX_SERVICES = 1000;

type Keeper = {
  readonly host: string;
  readonly hall: string;
  askedAt: Milliseconds;
};
type ServiceKeepers = { keepers: Keeper[]; dueAt: Milliseconds };

/** The hosts that keep the summaries of one planner. */
export class SummaryKeepers {
  readonly #services = new Map<string, ServiceKeepers>();

  /** Records that a host has sent a request for a service. */
  noteRequest(
    service: string,
    { host, hall }: { readonly host: string; readonly hall: string },
    now: Milliseconds,
  ): void {
    const state = this.#serviceOf(service, now);
    const known = state.keepers.find((keeper) => keeper.host === host);
    if (known) {
      known.askedAt = now;
      return;
    }
    const others = keptBeside(state.keepers, hall, now);
    if (others.length >= MAX_KEEPERS) return;
    state.keepers = [...others, { host, hall, askedAt: now }];
  }

  /** The hosts that are due for a summary of the service. */
  due(service: string, now: Milliseconds): readonly string[] {
    const state = this.#services.get(service);
    if (!state || now < state.dueAt) return [];
    return state.keepers.map(({ host }) => host);
  }

  /** Records that a summary was sent; `bytes` to all hosts together. */
  noteSent(service: string, bytes: number, now: Milliseconds): void {
    const intervalMs = bytes * 1000 / MAX_BYTES_PER_S;
    this.#serviceOf(service, now).dueAt = now +
      Math.max(MIN_INTERVAL_MS, intervalMs);
  }

  #serviceOf(service: string, now: Milliseconds): ServiceKeepers {
    const known = this.#services.get(service);
    if (known) return known;
    const state = { keepers: [], dueAt: now + MIN_INTERVAL_MS };
    this.#services.set(service, state);
    evictOldest(this.#services, MAX_SERVICES);
    return state;
  }
}

/**
 * The keepers that stay when a host of `hall` asks: not those that are idle,
 * and, for a hall without a keeper, only one of each other hall.
 */
function keptBeside(
  keepers: readonly Keeper[],
  hall: string,
  now: Milliseconds,
): readonly Keeper[] {
  const active = keepers.filter(({ askedAt }) => now - askedAt < IDLE_MS);
  if (active.length < MAX_KEEPERS) return active;
  if (active.some((keeper) => keeper.hall === hall)) return active;
  const redundant = active.find((keeper, index) =>
    active.slice(0, index).some((other) => other.hall === keeper.hall)
  );
  return active.filter((keeper) => keeper !== redundant);
}
