/** Sends messages to peers, batched per peer and step of the core. */
import { type ChannelCredentials, Client, Metadata } from "@grpc/grpc-js";
import type { Event, HostId, PeerMessage } from "../../core/mod.ts";
import { deliverMethod } from "./service.ts";
import { SECRET_HEADER } from "./server.ts";

/** Options of {@link Peers}. */
export type PeersOptions = {
  readonly self: { readonly id: HostId; readonly incarnation: number };
  push(event: Event): void;
  addressOf(host: HostId): string | undefined;
  readonly timeoutMs: number;
  readonly credentials: ChannelCredentials;
  readonly secret: string;
};

type PeerConnection = { readonly address: string; readonly client: Client };

/** gRPC clients of a host's peers. */
export class Peers {
  readonly #options: PeersOptions;
  readonly #connections = new Map<HostId, PeerConnection>();

  constructor(options: PeersOptions) {
    this.#options = options;
  }

  /** Sends a step's messages, grouped by peer. */
  send(
    messages: readonly { readonly to: HostId; readonly message: PeerMessage }[],
  ): void {
    const byPeer = new Map<HostId, PeerMessage[]>();
    for (const { to, message } of messages) {
      const batch = byPeer.get(to) ?? [];
      batch.push(message);
      byPeer.set(to, batch);
    }
    for (const [peer, batch] of byPeer) this.#deliver(peer, batch);
  }

  #deliver(peer: HostId, messages: PeerMessage[]): void {
    const client = this.#clientOf(peer);
    if (!client) return this.#options.push({ type: "peerFailed", peer });
    const { self, timeoutMs, secret } = this.#options;
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
        if (error) this.#options.push({ type: "peerFailed", peer });
      },
    );
  }

  #clientOf(peer: HostId): Client | undefined {
    const address = this.#options.addressOf(peer);
    const known = this.#connections.get(peer);
    if (known && known.address === address) return known.client;
    known?.client.close();
    this.#connections.delete(peer);
    if (!address) return undefined;
    const client = new Client(
      address,
      this.#options.credentials,
      RECONNECT_OPTIONS,
    );
    this.#connections.set(peer, { address, client });
    return client;
  }

  /** Closes all connections. */
  close(): void {
    for (const { client } of this.#connections.values()) client.close();
  }
}

/** Limits the reconnect backoff to one second. */
const RECONNECT_OPTIONS = {
  "grpc.initial_reconnect_backoff_ms": 100,
  "grpc.max_reconnect_backoff_ms": 1000,
};
