/** Sends messages to peers, all of one step to one peer in one envelope. */
import { type ChannelCredentials, Client, Metadata } from "@grpc/grpc-js";
import type { Event, HostId, PeerMessage } from "../../core/mod.ts";
import { deliverMethod } from "./service.ts";
import { SECRET_HEADER } from "./server.ts";

/** What the peers' side needs from the rest of the host. */
export type PeersSource = {
  readonly self: { readonly id: HostId; readonly incarnation: number };
  push(event: Event): void;
  addressOf(host: HostId): string | undefined;
  readonly timeoutMs: number;
  readonly credentials: ChannelCredentials;
  readonly secret: string;
};

type Line = { readonly address: string; readonly client: Client };

/** The sending half of the peers' side. */
export class Peers {
  readonly #source: PeersSource;
  readonly #lines = new Map<HostId, Line>();

  constructor(source: PeersSource) {
    this.#source = source;
  }

  /** Sends a step's messages, grouped by peer. */
  send(
    tells: readonly { readonly to: HostId; readonly message: PeerMessage }[],
  ): void {
    const byPeer = new Map<HostId, PeerMessage[]>();
    for (const { to, message } of tells) {
      const messages = byPeer.get(to) ?? [];
      messages.push(message);
      byPeer.set(to, messages);
    }
    for (const [peer, messages] of byPeer) this.#deliver(peer, messages);
  }

  #deliver(peer: HostId, messages: PeerMessage[]): void {
    const client = this.#clientOf(peer);
    if (!client) return this.#source.push({ type: "peerFailed", peer });
    const { self, timeoutMs, secret } = this.#source;
    const { id: from, incarnation } = self;
    const metadata = new Metadata();
    metadata.set(SECRET_HEADER, secret);
    const { path, requestSerialize, responseDeserialize } = deliverMethod;
    client.makeUnaryRequest(
      path,
      requestSerialize,
      responseDeserialize,
      { from, incarnation, messages },
      metadata,
      { deadline: Date.now() + timeoutMs },
      (error) => {
        if (error) this.#source.push({ type: "peerFailed", peer });
      },
    );
  }

  #clientOf(peer: HostId): Client | undefined {
    const address = this.#source.addressOf(peer);
    const known = this.#lines.get(peer);
    if (known && known.address === address) return known.client;
    known?.client.close();
    this.#lines.delete(peer);
    if (!address) return undefined;
    const client = new Client(address, this.#source.credentials, RECONNECT);
    this.#lines.set(peer, { address, client });
    return client;
  }

  /** Closes all lines. */
  close(): void {
    for (const { client } of this.#lines.values()) client.close();
  }
}

/** A peer that was away is found again within a second. */
const RECONNECT = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
};
