/** Connections to one replica; kept ones are closed before the replica does it. */
import {
  Agent,
  type ClientRequest,
  type ClientRequestArgs,
  type IncomingMessage,
} from "node:http";
import type { Socket, TcpNetConnectOpts } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "../../util/units.ts";
import type { Connect } from "./connect.ts";
import { acceptBytes, closeOnBytes } from "./idle_bytes.ts";

/**
 * An idle connection is closed this long before the timeout that the replica
 * announced. Otherwise a request could be sent while the replica closes the
 * connection, and it would be unknown whether the request ran.
 */
const CLOSE_MARGIN_MS = 1200;
/** Idle timeout for replicas that announce none. */
const DEFAULT_IDLE_MS = 4000;

/** A socket with the request that Node attaches to it (internal to Node). */
type SocketWithMessage = Socket & {
  _httpMessage?: { res?: IncomingMessage };
};

/** Options of {@link ReplicaAgent}. */
export type ReplicaAgentOptions = {
  readonly maxConnections: number;
  /** Whether a connection carries more than one call. */
  readonly keepAlive: boolean;
  /** Called when the replica's side ends an idle connection. */
  readonly onIdleEnd?: () => void;
};

/** An agent whose idle timeout is shorter than that of the replica. */
export class ReplicaAgent extends Agent {
  readonly #connect: Connect;
  readonly #onIdleEnd: () => void;
  /** Whether each kept connection is idle. */
  readonly #isIdle = new WeakMap<Socket, boolean>();

  constructor(
    { maxConnections, keepAlive, onIdleEnd = () => {} }: ReplicaAgentOptions,
    connect: Connect,
  ) {
    super({
      keepAlive,
      maxSockets: maxConnections,
      maxFreeSockets: maxConnections,
      scheduling: "lifo",
    });
    this.#connect = connect;
    this.#onIdleEnd = onIdleEnd;
  }

  /** Sets a new limit; connections beyond it close once their calls have ended. */
  limitConnections(maxConnections: number): void {
    this.maxSockets = maxConnections;
    this.maxFreeSockets = maxConnections;
  }

  override createConnection(options: ClientRequestArgs): Duplex | undefined {
    return this.#connect(options as TcpNetConnectOpts);
  }

  /** Called by Node when a response has ended; false closes the connection. */
  override keepSocketAlive(socket: Socket): boolean {
    const answer = (socket as SocketWithMessage)._httpMessage?.res;
    const idleMs = idleTimeoutMs(answer?.headers["keep-alive"]);
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, DEFAULT_IDLE_MS);
    socket.unref();
    socket.setTimeout(idleMs);
    closeOnBytes(socket);
    this.#watchIdle(socket);
    return true;
  }

  /** Called by Node when an idle connection gets its next call. */
  override reuseSocket(socket: Socket, request: ClientRequest): void {
    acceptBytes(socket);
    this.#isIdle.set(socket, false);
    super.reuseSocket(socket, request);
  }

  #watchIdle(socket: Socket): void {
    const isWatched = this.#isIdle.has(socket);
    this.#isIdle.set(socket, true);
    if (isWatched) return;
    socket.once("close", (hadError) => {
      const isByReplica = hadError || socket.readableEnded;
      if (isByReplica && this.#isIdle.get(socket)) this.#onIdleEnd();
    });
  }
}

/**
 * How long a connection may stay idle, by the `Keep-Alive` response header;
 * zero or less: it is not reused.
 */
export function idleTimeoutMs(
  keepAlive: string | string[] | undefined,
): Milliseconds {
  const text = Array.isArray(keepAlive) ? keepAlive[0] : keepAlive;
  const seconds = /timeout=(\d+)/.exec(text ?? "")?.[1];
  if (seconds === undefined) return DEFAULT_IDLE_MS;
  return Number(seconds) * 1000 - CLOSE_MARGIN_MS;
}

/** Closes the idle connections of an agent. */
export function closeIdle(agent: Agent | undefined): void {
  for (const sockets of Object.values(agent?.freeSockets ?? {})) {
    for (const socket of sockets ?? []) socket.destroy();
  }
}
