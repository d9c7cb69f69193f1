/** Chooses the host from which another receives the store state; pure. */
import type { HostId } from "../../util/ids.ts";
import type { HostOrders } from "../peers/host_order.ts";
import type { HostEntry } from "../port.ts";

/** Key of the rendezvous order of all possible readers. */
const ORDER_KEY = "store-reader";

/** Input of {@link chooseReader}. */
export type ReaderQuery = {
  readonly self: Pick<HostEntry, "id" | "hall">;
  /** All other hosts; the same array as long as no host changes. */
  readonly hosts: readonly HostEntry[];
  readonly orders: HostOrders;
  isSuspect(host: HostId): boolean;
};

/**
 * The host that `self` follows; `self` if it comes first or no other host is
 * available. All hosts use the same order: the first host of a hall relays to
 * its hall and follows the first host of the fleet, which reads the store. The
 * number of calls to the store therefore does not grow with the fleet.
 */
export function chooseReader(query: ReaderQuery): HostId {
  const { self, hosts, orders, isSuspect } = query;
  const order = orders.of(ORDER_KEY, hosts);
  const hallOf = new Map(hosts.map((host) => [host.id, host.hall]));
  const relay = order.find((id) =>
    id === self.id || (hallOf.get(id) === self.hall && !isSuspect(id))
  );
  if (relay !== undefined && relay !== self.id) return relay;
  // If one host of a hall is unreachable, probably all of them are.
  const suspectHalls = new Set(
    hosts.filter((host) => isSuspect(host.id) && host.hall !== self.hall)
      .map((host) => host.hall),
  );
  return order.find((id) =>
    id === self.id ||
    (!isSuspect(id) && !suspectHalls.has(hallOf.get(id) ?? ""))
  ) ?? self.id;
}
