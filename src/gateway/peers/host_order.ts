/** Caches rendezvous orders of hosts until the hosts change. */
import type { HostId } from "../../util/ids.ts";
import { rendezvous } from "../../util/rendezvous.ts";
import type { HostEntry } from "../port.ts";

type Order = {
  readonly hosts: readonly HostEntry[];
  readonly ids: readonly HostId[];
};

/** Rendezvous orders of all hosts, including this one, by key. */
export class HostOrders {
  readonly #self: HostId;
  readonly #orders = new Map<string, Order>();

  constructor(self: HostId) {
    this.#self = self;
  }

  /**
   * The order for a key, best first. `hosts` must be the same array as long as
   * none of them changes.
   */
  of(key: string, hosts: readonly HostEntry[]): readonly HostId[] {
    const cached = this.#orders.get(key);
    if (cached?.hosts === hosts) return cached.ids;
    const ids = rendezvous(key, [this.#self, ...hosts.map((host) => host.id)]);
    this.#orders.set(key, { hosts, ids });
    return ids;
  }
}
