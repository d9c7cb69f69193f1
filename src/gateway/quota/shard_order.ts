/** The hosts that may own a shard, in the order that all hosts share. */
import type { HostId } from "../../util/ids.ts";
import type { Clock } from "../clock.ts";
import { HostOrders } from "../peers/host_order.ts";
import type { HostEntry } from "../port.ts";
import { orderKeyOf } from "./shards.ts";
import { Suspects } from "./suspects.ts";

/** Options of {@link ShardOrder}. */
export type ShardOrderOptions = {
  readonly self: Pick<HostEntry, "id" | "hall">;
  readonly clock: Clock;
  /** The other hosts; the same array as long as none changes. */
  readonly hosts: () => readonly HostEntry[];
};

/** Rendezvous order of the hosts of each shard, without suspects. */
export class ShardOrder {
  readonly #options: ShardOrderOptions;
  readonly #orders: HostOrders;
  readonly #suspects: Suspects;

  constructor(options: ShardOrderOptions) {
    this.#options = options;
    this.#orders = new HostOrders(options.self);
    this.#suspects = new Suspects(options.self.hall);
  }

  /** The owner of a shard: the first host, this one included. */
  first(shard: number): HostId {
    const { self } = this.#options;
    return this.#find(shard, () => true) ?? self.id;
  }

  /** The first of the other hosts. */
  firstOther(shard: number): HostId | undefined {
    const { self } = this.#options;
    return this.#find(shard, (id) => id !== self.id);
  }

  /** Skips a host that did not respond, for a while. */
  suspect({ id, hall }: Pick<HostEntry, "id" | "hall">): void {
    this.#suspects.add(id, hall, this.#options.clock.now());
  }

  #find(
    shard: number,
    isWanted: (id: HostId) => boolean,
  ): HostId | undefined {
    const { self, clock, hosts: hostsOf } = this.#options;
    const hosts = hostsOf();
    const unreachable = this.#suspects.unreachableHalls(clock.now());
    const isReachable = (id: HostId) => {
      if (id === self.id) return true;
      if (this.#suspects.has(id)) return false;
      const host = hosts.find((entry) => entry.id === id);
      return host !== undefined && !unreachable.has(host.hall);
    };
    return this.#orders.of(orderKeyOf(shard), hosts)
      .find((id) => isWanted(id) && isReachable(id));
  }
}
