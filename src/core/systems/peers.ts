/** Sending messages to peers, this host included. */
import type { HostId } from "../../util/ids.ts";
import type { PeerMessage } from "../../messages/peer.ts";
import { order, type World } from "../world.ts";

/** The inside of a peer message. */
export type PeerKind = NonNullable<PeerMessage["kind"]>;

/** Orders a message to a host; one to this host comes back in the next step. */
export function tell(world: World, to: HostId, kind: PeerKind): void {
  order(world, { type: "tell", to, message: { kind } });
}
