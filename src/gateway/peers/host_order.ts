/** Rendezvous orders of hosts, made anew only when the hosts change. */
import type { HostId } from "../../util/ids.ts";
import { rendezvous } from "../../util/rendezvous.ts";
import type { HostEntry } from "../port.ts";

type Order = {
  readonly hosts: readonly HostEntry[];
  readonly ids: readonly HostId[];
};

/** The orders of this host and the others, by key. */
export class HostOrders {
  readonly #self: HostId;
  readonly #orders = new Map<string, Order>();

  constructor(self: HostId) {
    this.#self = self;
  }

  /** Best first; `hosts` has to be the same array while none changes. */
  of(key: string, hosts: readonly HostEntry[]): readonly HostId[] {
    const known = this.#orders.get(key);
    if (known?.hosts === hosts) return known.ids;
    const ids = rendezvous(key, [this.#self, ...hosts.map((one) => one.id)]);
    this.#orders.set(key, { hosts, ids });
    return ids;
  }
}
