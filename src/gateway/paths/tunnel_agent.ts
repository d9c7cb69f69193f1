/** Persistent connections to one replica through peers. */
import type { ClientRequestArgs } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import { tcpConnect } from "../upstreams/connect.ts";
import {
  ReplicaAgent,
  type ReplicaAgentOptions,
} from "../upstreams/replica_agent.ts";
import type { TunnelOutcome } from "./tunnel_client.ts";

/**
 * A tunnel is not reused when it is older than this, so that a peer that stops
 * soon carries none, and a host whose path has healed soon uses its own.
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
};

/** A tunnel that has been opened. */
type OpenTunnel = {
  readonly openedAt: Milliseconds;
  /** Address of the peer. */
  readonly peer: string;
};

/** An agent whose connections are tunnels. */
export class TunnelAgent extends ReplicaAgent {
  readonly #options: TunnelAgentOptions;
  readonly #tunnels = new WeakMap<Socket, OpenTunnel>();

  constructor(options: TunnelAgentOptions) {
    super(options, tcpConnect);
    this.#options = options;
  }

  override createConnection(
    _options: ClientRequestArgs,
    callback?: (error: Error | null, socket: Duplex) => void,
  ): Duplex | undefined {
    const { open, clock } = this.#options;
    void open().then((outcome) => {
      if (outcome.type !== "open") {
        const error = tunnelError(outcome.type);
        // Node reads no socket when there is an error.
        return callback?.(error, undefined as unknown as Duplex);
      }
      const { socket, peer } = outcome;
      this.#tunnels.set(socket, { openedAt: clock.now(), peer });
      callback?.(null, socket);
    });
    return undefined;
  }

  /** Returns the address of the peer that a tunnel goes through. */
  peerOf(socket: Socket): string | undefined {
    return this.#tunnels.get(socket)?.peer;
  }

  override keepSocketAlive(socket: Socket): boolean {
    const ageMs = this.#options.clock.now() -
      (this.#tunnels.get(socket)?.openedAt ?? -Infinity);
    if (ageMs >= MAX_AGE_MS || !super.keepSocketAlive(socket)) return false;
    socket.setTimeout(MAX_AGE_MS - ageMs);
    return true;
  }
}

function tunnelError(type: keyof typeof FAILURE_CODES): Error {
  const error = new Error(`No tunnel to the replica: ${type}`);
  return Object.assign(error, { code: FAILURE_CODES[type] });
}
