/** Opens a connection to a replica by way of another host, a peer. */
import { request } from "node:http";
import type { Socket } from "node:net";
import { parseAddress } from "../../util/address.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import { LINK_HOST_HEADER } from "../peers/link.ts";
import { type PeerProcess, RUN_HEADER } from "../peers/peer_process.ts";

/** Status of a peer's response to a CONNECT request. */
export const TunnelStatus = {
  open: 200,
  /** The peer's connection to the replica was refused. */
  refused: 502,
  /** The peer opens no tunnels, or not to this address. */
  unavailable: 503,
  /** The peer does not reach the replica either. */
  unreachable: 504,
} as const;

/** The result of an attempt to open a tunnel. */
export type TunnelOutcome =
  | {
    readonly type: "open";
    readonly socket: Socket;
    readonly peer: PeerProcess;
  }
  /** Nothing listens at the replica's address, according to the peer. */
  | { readonly type: "refused" }
  /** The peer does not reach the replica. */
  | { readonly type: "unreachable" }
  /** The peer did not respond, or opens no tunnels. */
  | { readonly type: "unavailable" };

/** An attempt in progress. */
export type TunnelAttempt = {
  readonly outcome: Promise<TunnelOutcome>;
  cancel(): void;
};

/** The ends of a tunnel. */
export type TunnelEnds = {
  /** Name of this host. */
  readonly self: string;
  /** Address of the peer. */
  readonly peer: string;
  /** Address of the replica. */
  readonly replica: string;
};

/** Requests a tunnel from a peer with an HTTP CONNECT request. */
export function openTunnel(
  { self, peer, replica }: TunnelEnds,
  { clock, timeoutMs }: {
    readonly clock: Clock;
    readonly timeoutMs: Milliseconds;
  },
): TunnelAttempt {
  const address = parseAddress(peer);
  if (!address || !parseAddress(replica)) {
    const outcome = Promise.resolve({ type: "unavailable" } as const);
    return { outcome, cancel: () => undefined };
  }
  const outgoing = request({
    ...address,
    method: "CONNECT",
    path: replica,
    headers: { [LINK_HOST_HEADER]: self },
    agent: false,
  });
  const cancelTimer = clock.after(timeoutMs, () => outgoing.destroy());
  const outcome = new Promise<TunnelOutcome>((resolve) => {
    outgoing.on("connect", (response, socket: Socket, first) => {
      cancelTimer();
      if (response.statusCode === TunnelStatus.open) {
        // What the replica sent may arrive with the head of this response.
        if (first.length > 0) socket.unshift(first);
        socket.setNoDelay(true);
        const run = response.headers[RUN_HEADER];
        return resolve({
          type: "open",
          socket,
          peer: { address: peer, run: run === undefined ? run : String(run) },
        });
      }
      socket.destroy();
      resolve({ type: failureOf(response.statusCode) });
    });
    // Errors without a response are followed by "close".
    outgoing.on("error", () => undefined);
    outgoing.on("close", () => {
      cancelTimer();
      resolve({ type: "unavailable" });
    });
  });
  outgoing.end();
  return { outcome, cancel: () => outgoing.destroy() };
}

function failureOf(
  status: number | undefined,
): Exclude<TunnelOutcome["type"], "open"> {
  switch (status) {
    case TunnelStatus.refused:
      return "refused";
    case TunnelStatus.unreachable:
      return "unreachable";
    default:
      return "unavailable";
  }
}
