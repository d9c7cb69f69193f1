/** From which host another has its word of the store; pure. */
import type { HostId } from "../../util/ids.ts";
import type { HostOrders } from "../peers/host_order.ts";
import type { HostEntry } from "../port.ts";

/** Names the rendezvous order of all possible readers. */
const ORDER_KEY = "store-reader";

/** What a reader is chosen from. */
export type ReaderQuery = {
  readonly self: Pick<HostEntry, "id" | "hall">;
  /** The same array while no host changes. */
  readonly hosts: readonly HostEntry[];
  readonly orders: HostOrders;
  isSuspect(host: HostId): boolean;
};

/**
 * The host that `self` follows. One order holds for all: the first of a hall
 * relays to its hall and follows the first of all, which reads the store. So
 * calls to the store don't grow with the number of hosts or halls. `self` when
 * it comes first, or when nobody else can be followed.
 */
export function chooseReader(query: ReaderQuery): HostId {
  const { self, hosts, orders, isSuspect } = query;
  const order = orders.of(ORDER_KEY, hosts);
  const hallOf = new Map(hosts.map((one) => [one.id, one.hall]));
  const relay = order.find((id) =>
    id === self.id || (hallOf.get(id) === self.hall && !isSuspect(id))
  );
  if (relay !== undefined && relay !== self.id) return relay;
  // A hall whose first hosts can't be reached is most likely cut off.
  const suspectHalls = new Set(
    hosts.filter((one) => isSuspect(one.id) && one.hall !== self.hall)
      .map((one) => one.hall),
  );
  return order.find((id) =>
    id === self.id ||
    (!isSuspect(id) && !suspectHalls.has(hallOf.get(id) ?? ""))
  ) ?? self.id;
}
