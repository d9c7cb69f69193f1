/** Chooses the peers that are asked for a tunnel; a pure function. */
import type { HostId } from "../../util/ids.ts";
import { rendezvous } from "../../util/rendezvous.ts";
import type { HostEntry } from "../port.ts";
import type { ReplicaEntry } from "../replicas/model.ts";

/** Options of {@link orderPeers}. */
export type PeerQuery = {
  readonly self: { readonly id: HostId; readonly hall: string };
  readonly replica: Pick<ReplicaEntry, "incarnation" | "hall">;
  /** The peer that last opened a tunnel to the replica. */
  readonly last: HostId | undefined;
  /** Whether the peer recently failed to open a tunnel. */
  readonly hasFailed: (peer: HostId) => boolean;
};

/**
 * The peers in the order in which they are asked: the last one that worked,
 * then those in the hall of this host or of the replica, which cost no extra
 * hop between halls. The rendezvous order spreads hosts and replicas over them.
 */
export function orderPeers(
  peers: readonly HostEntry[],
  { self, replica, last, hasFailed }: PeerQuery,
): HostEntry[] {
  const ids = rendezvous(
    `${self.id}\n${replica.incarnation}`,
    peers.map((peer) => peer.id),
  );
  const byId = new Map(peers.map((peer) => [peer.id, peer]));
  const spread = ids.flatMap((id) => byId.get(id) ?? []);
  const rankOf = ({ id, hall }: HostEntry) => {
    if (hasFailed(id)) return 3;
    if (id === last) return 0;
    return hall === self.hall || hall === replica.hall ? 1 : 2;
  };
  return spread.sort((a, b) => rankOf(a) - rankOf(b));
}
