/** Decides which connections of callers stay open when there are many. */

/** What to do with a connection that has just opened. */
export type OpenedConnection<Connection> =
  | { readonly type: "accepted" }
  /** It is accepted; an idle one has to be closed for it. */
  | { readonly type: "acceptedFor"; readonly idle: Connection }
  | { readonly type: "refused" };

/**
 * Counts connections. Idle ones, which are open since their callers may send
 * another request, are closed before new callers are refused.
 */
export class ConnectionLimit<Connection> {
  readonly #open = new Set<Connection>();
  /** In the order in which they became idle. */
  readonly #idle = new Set<Connection>();

  /** Number of connections that were accepted and are open. */
  get size(): number {
    return this.#open.size;
  }

  /** Decides about a new connection; `limit` is a number of connections. */
  opened(connection: Connection, limit: number): OpenedConnection<Connection> {
    if (this.#open.size < limit) {
      this.#open.add(connection);
      return { type: "accepted" };
    }
    const [idle] = this.#idle;
    if (idle === undefined) return { type: "refused" };
    this.closed(idle);
    this.#open.add(connection);
    return { type: "acceptedFor", idle };
  }

  /** A request was received on the connection. */
  busy(connection: Connection): void {
    this.#idle.delete(connection);
  }

  /** All requests of the connection have been answered. */
  idle(connection: Connection): void {
    if (this.#open.has(connection)) this.#idle.add(connection);
  }

  /** The connection has closed. */
  closed(connection: Connection): void {
    this.#open.delete(connection);
    this.#idle.delete(connection);
  }
}

/**
 * Descriptors for the connections to peers, the store and the callers of
 * readiness and metrics, and for files.
 */
const RESERVED_DESCRIPTORS = 600;
/** Largest share of the descriptors that is reserved, where there are few. */
const MAX_RESERVED_SHARE = 0.25;
/**
 * Share of the other descriptors that is given to callers. A request in progress
 * has one connection to a replica, and idle connections to replicas stay open.
 */
const CALLERS_SHARE = 0.6;
/** Callers can be served at any limit of descriptors. */
const MIN_CONNECTIONS = 64;

/**
 * Connections of callers that a process may hold by its limit on descriptors;
 * Infinity if that is unknown.
 */
export function callerConnectionsOf(descriptors: number | undefined): number {
  if (descriptors === undefined) return Infinity;
  const reserved = Math.min(
    RESERVED_DESCRIPTORS,
    descriptors * MAX_RESERVED_SHARE,
  );
  const shared = (descriptors - reserved) * CALLERS_SHARE;
  return Math.max(MIN_CONNECTIONS, Math.floor(shared));
}
