/** Chooses the host from which another receives the store state; pure. */
import type { HostId } from "../../util/ids.ts";
import type { HostOrders } from "../peers/host_order.ts";
import type { HostEntry } from "../port.ts";

/** Key of the rendezvous order of all possible readers. */
const ORDER_KEY = "store-reader";
/**
 * Number of hosts of a hall that follow the same one while none is suspect. In a
 * hall of 110 hosts each is at most two hosts away from the relay.
 */
const FOLLOWERS_PER_HOST = 10;

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
 * number of calls to the store therefore does not grow with the fleet. The hosts
 * of a hall form a tree, so that neither does what a host sends. A host follows
 * only hosts that precede it, so there are no cycles, whatever hosts each knows.
 */
export function chooseReader(query: ReaderQuery): HostId {
  const { self, hosts, orders, isSuspect } = query;
  const order = orders.of(ORDER_KEY, hosts);
  const hallOf = new Map(hosts.map((host) => [host.id, host.hall]));
  const hall = order.filter((id) =>
    id === self.id || hallOf.get(id) === self.hall
  );
  const inHall = readerInHall(hall, query);
  if (inHall !== undefined) return inHall;
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

/**
 * The next host above `self` in the tree of its hall that isn't suspect, or else
 * the first such host; undefined if this host comes first.
 */
function readerInHall(
  hall: readonly HostId[],
  { self, isSuspect }: Pick<ReaderQuery, "self" | "isSuspect">,
): HostId | undefined {
  const position = hall.indexOf(self.id);
  for (let at = position; at > 0;) {
    at = Math.floor((at - 1) / FOLLOWERS_PER_HOST);
    const id = hall[at];
    if (id !== undefined && !isSuspect(id)) return id;
  }
  return hall.slice(0, position).find((id) => !isSuspect(id));
}
