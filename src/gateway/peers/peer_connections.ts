/** HTTP connections to the other hosts. */
import type { JsonCall } from "../port.ts";
import type { JsonAnswer, JsonClient } from "../upstreams/json_client.ts";

/** A call to a peer. */
export type PeerCall = JsonCall & {
  /** Aborts the call. */
  readonly signal: AbortSignal;
};

/** The client for one address. */
type Connection = { readonly client: JsonClient; openCalls: number };

/** Keeps one HTTP client for each address. */
export class PeerConnections {
  readonly #createClient: (address: string) => JsonClient;
  readonly #connections = new Map<string, Connection>();

  /** `createClient` creates the HTTP client for an address. */
  constructor(createClient: (address: string) => JsonClient) {
    this.#createClient = createClient;
  }

  /** Rejects if no complete response arrives or its signal aborts the call. */
  async call(
    address: string,
    { signal, ...call }: PeerCall,
  ): Promise<JsonAnswer> {
    const connection = this.#connectionTo(address);
    connection.openCalls += 1;
    try {
      return await connection.client.call(call, signal);
    } finally {
      connection.openCalls -= 1;
      const isKept = this.#connections.get(address) === connection;
      if (!isKept && connection.openCalls === 0) connection.client.close();
    }
  }

  /**
   * Closes the connections to all but these addresses, once their open calls
   * have ended: a host that is stopping leaves the listing before it ends.
   */
  retain(addresses: Iterable<string>): void {
    const retained = new Set(addresses);
    for (const [address, { client, openCalls }] of this.#connections) {
      if (retained.has(address)) continue;
      this.#connections.delete(address);
      if (openCalls === 0) client.close();
    }
  }

  /** Closes all connections, and thereby fails the open calls. */
  close(): void {
    for (const { client } of this.#connections.values()) client.close();
    this.#connections.clear();
  }

  #connectionTo(address: string): Connection {
    const existing = this.#connections.get(address);
    if (existing) return existing;
    const client = this.#createClient(address);
    const connection = { client, openCalls: 0 };
    this.#connections.set(address, connection);
    return connection;
  }
}
