/** Which host of a hall reads the store for the others; pure. */
import type { HostId } from "../../core/ids.ts";
import type { HostOrders } from "../peers/host_order.ts";
import type { HostEntry } from "../port.ts";

/** What a reader is chosen from. */
export type ReaderQuery = {
  readonly self: Pick<HostEntry, "id" | "hall">;
  /** The same array while no host changes. */
  readonly hosts: readonly HostEntry[];
  readonly orders: HostOrders;
  isSuspect(host: HostId): boolean;
};

/**
 * The reader that `self` follows: the first of its hall's hosts by rendezvous
 * hashing that is not suspect; `self` when it comes first.
 */
export function chooseReader(query: ReaderQuery): HostId {
  const { self, hosts, orders, isSuspect } = query;
  for (const id of orders.of(`store-reader/${self.hall}`, hosts)) {
    if (id === self.id) return id;
    if (isSuspect(id)) continue;
    const host = hosts.find((one) => one.id === id);
    if (host?.hall === self.hall) return id;
  }
  return self.id;
}
