/** Caches rendezvous orders of hosts until the hosts change. */
import type { HostId } from "../../util/ids.ts";
import { weightedRendezvous } from "../../util/rendezvous.ts";
import type { HostEntry } from "../port.ts";

/** The part of a host's entry by which it is ordered. */
export type OrderedHost = Pick<HostEntry, "id" | "capacity">;

type Order = {
  readonly hosts: readonly HostEntry[];
  readonly ids: readonly HostId[];
};

/** Capacity of a host that states none. */
const DEFAULT_CAPACITY = 1;

/**
 * Gives hosts a share of the keys by their capacity. All hosts carry a similar
 * part of the callers' load, so what is left for duties grows faster than the
 * capacity; its square stands for that.
 */
export function capacityWeight({ capacity }: OrderedHost): number {
  return (capacity ?? DEFAULT_CAPACITY) ** 2;
}

/**
 * Rendezvous orders of all hosts, including this one, by key. All hosts have the
 * same weight by default.
 */
export class HostOrders {
  readonly #self: OrderedHost;
  readonly #weightOf: (host: OrderedHost) => number;
  readonly #orders = new Map<string, Order>();

  constructor(
    self: OrderedHost,
    weightOf: (host: OrderedHost) => number = () => 1,
  ) {
    this.#self = self;
    this.#weightOf = weightOf;
  }

  /**
   * The order for a key, best first. `hosts` must be the same array as long as
   * none of them changes.
   */
  of(key: string, hosts: readonly HostEntry[]): readonly HostId[] {
    const cached = this.#orders.get(key);
    if (cached?.hosts === hosts) return cached.ids;
    const candidates = [this.#self, ...hosts].map((host) => ({
      id: host.id,
      weight: this.#weightOf(host),
    }));
    const ids = weightedRendezvous(key, candidates);
    this.#orders.set(key, { hosts, ids });
    return ids;
  }
}
