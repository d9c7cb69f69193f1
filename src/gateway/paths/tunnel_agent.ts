/** Persistent connections to one replica through peers. */
import type { ClientRequestArgs } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { PeerProcess } from "../peers/peer_process.ts";
import { tcpConnect } from "../upstreams/connect.ts";
import {
  ReplicaAgent,
  type ReplicaAgentOptions,
} from "../upstreams/replica_agent.ts";
import type { CarrierLinks } from "./carrier_links.ts";
import type { TunnelOutcome } from "./tunnel_client.ts";

/**
 * A tunnel is not reused when it is older than this, so that a host whose path
 * has healed soon uses its own.
 */
const MAX_AGE_MS = 2000;

/** `code` of the error when no peer gave an answer. */
export const NO_PEER_CODE = "ENETUNREACH";

const FAILURE_CODES = {
  refused: "ECONNREFUSED",
  unreachable: "EHOSTUNREACH",
  unavailable: NO_PEER_CODE,
} as const;

/** Options of {@link TunnelAgent}. */
export type TunnelAgentOptions = ReplicaAgentOptions & {
  readonly clock: Clock;
  readonly open: () => Promise<TunnelOutcome>;
  readonly carriers: Pick<
    CarrierLinks,
    "isServing" | "isStopping" | "noteUsed"
  >;
};

/** A tunnel that has been opened. */
type OpenTunnel = {
  readonly openedAt: Milliseconds;
  readonly peer: PeerProcess;
  /** Bytes that were written to open it. */
  readonly bytesWritten: number;
};

/** An agent whose connections are tunnels. */
export class TunnelAgent extends ReplicaAgent {
  readonly #options: TunnelAgentOptions;
  readonly #tunnels = new WeakMap<Socket, OpenTunnel>();

  constructor(options: TunnelAgentOptions) {
    super(options, tcpConnect);
    this.#options = options;
    // Node gives a connection to the next call that waits without asking
    // `keepSocketAlive`. One that is destroyed is replaced by a new one.
    this.prependListener("free", (socket: Socket) => {
      if (!this.#isNew(socket) && !this.#mayCarry(socket)) socket.destroy();
    });
  }

  override createConnection(
    _options: ClientRequestArgs,
    callback?: (error: Error | null, socket: Duplex) => void,
  ): Duplex | undefined {
    void this.#open().then((outcome) => {
      if (outcome.type === "open") return callback?.(null, outcome.socket);
      const error = tunnelError(outcome.type);
      // Node reads no socket when there is an error.
      return callback?.(error, undefined as unknown as Duplex);
    });
    return undefined;
  }

  /** Returns the peer that a tunnel goes through. */
  peerOf(socket: Socket): PeerProcess | undefined {
    return this.#tunnels.get(socket)?.peer;
  }

  /** Closes the idle tunnels through a peer. */
  closeIdleThrough(peer: string): void {
    for (const sockets of Object.values(this.freeSockets)) {
      for (const socket of sockets ?? []) {
        if (this.peerOf(socket)?.address === peer) socket.destroy();
      }
    }
  }

  override keepSocketAlive(socket: Socket): boolean {
    if (!this.#mayCarry(socket) || !super.keepSocketAlive(socket)) return false;
    socket.setTimeout(MAX_AGE_MS - this.#ageOf(socket));
    return true;
  }

  async #open(): Promise<TunnelOutcome> {
    const { open, clock, carriers, keepAlive } = this.#options;
    const outcome = await open();
    if (outcome.type !== "open") return outcome;
    const { socket, peer } = outcome;
    if (carriers.isStopping(peer.address)) {
      socket.destroy();
      // The peer is not asked again.
      return this.#open();
    }
    const { bytesWritten } = socket;
    this.#tunnels.set(socket, { openedAt: clock.now(), peer, bytesWritten });
    if (keepAlive) carriers.noteUsed(peer.address);
    return outcome;
  }

  /** Whether no call has begun over a tunnel. */
  #isNew(socket: Socket): boolean {
    return this.#tunnels.get(socket)?.bytesWritten === socket.bytesWritten;
  }

  /** Whether another call may begin over a tunnel. */
  #mayCarry(socket: Socket): boolean {
    const tunnel = this.#tunnels.get(socket);
    return tunnel !== undefined && this.#ageOf(socket) < MAX_AGE_MS &&
      this.#options.carriers.isServing(tunnel.peer.address);
  }

  #ageOf(socket: Socket): Milliseconds {
    const openedAt = this.#tunnels.get(socket)?.openedAt ?? -Infinity;
    return this.#options.clock.now() - openedAt;
  }
}

function tunnelError(type: keyof typeof FAILURE_CODES): Error {
  const error = new Error(`No tunnel to the replica: ${type}`);
  return Object.assign(error, { code: FAILURE_CODES[type] });
}
