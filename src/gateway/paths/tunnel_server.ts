/**
 * Carries other hosts' connections to replicas that they do not reach
 * themselves. A tunnel has one hop: this host connects to the replica directly
 * or not at all.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { parseAddress } from "../../util/address.ts";
import { resetSocket } from "../../util/reset_socket.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import { LINK_HOST_HEADER } from "../peers/link.ts";
import { RUN_HEADER } from "../peers/peer_process.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Connect } from "../upstreams/connect.ts";
import { isRefusal } from "../upstreams/probe.ts";
import type { PathMonitor } from "./path_monitor.ts";
import { StopNotices } from "./stop_notices.ts";
import { TunnelStatus } from "./tunnel_client.ts";

/** Bounds the memory and the connections that other hosts can use here. */
const MAX_TUNNELS = 256;
/** A tunnel without traffic for this time is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Detects a peer or a replica that has lost power. */
const KEEP_ALIVE_MS = 1000;

/** Options of {@link TunnelServer}. */
export type TunnelServerOptions = {
  readonly clock: Clock;
  /** Identifies this run of the process. */
  readonly run: string;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count" | "countLabelled">;
  readonly connect: Connect;
  readonly connectTimeoutMs: Milliseconds;
  /** The listed replica with this address. */
  readonly replicaAt: (address: string) => ReplicaEntry | undefined;
  /** This host's own paths. */
  readonly monitor: Pick<PathMonitor, "isLost" | "confirmRefusal">;
  readonly isStopping: () => boolean;
};

/** Accepts CONNECT requests of peers. */
export class TunnelServer {
  readonly #options: TunnelServerOptions;
  readonly #open = new Set<Socket>();
  readonly #notices: StopNotices;

  constructor(options: TunnelServerOptions) {
    this.#options = options;
    this.#notices = new StopNotices(options);
  }

  /** Number of tunnels that this host carries. */
  get size(): number {
    return this.#open.size;
  }

  /** Accepts a link over which a host learns of the stop of this one. */
  acceptLink(incoming: IncomingMessage, response: ServerResponse): void {
    this.#notices.accept(incoming, response);
  }

  /** Tells the hosts whose tunnels this host carries that it stops. */
  announceStop(): void {
    this.#notices.announce();
  }

  /** Handles a CONNECT request whose target is the address of a replica. */
  accept(request: IncomingMessage, socket: Socket): void {
    const { replicaAt, monitor, isStopping } = this.#options;
    socket.on("error", () => socket.destroy());
    const replica = replicaAt(request.url ?? "");
    if (!replica || isStopping() || this.#open.size >= MAX_TUNNELS) {
      return reject(socket, TunnelStatus.unavailable);
    }
    if (monitor.isLost(replica.incarnation)) {
      return reject(socket, TunnelStatus.unreachable);
    }
    const host = String(request.headers[LINK_HOST_HEADER] ?? "");
    this.#connect(socket, replica, host);
  }

  #connect(socket: Socket, replica: ReplicaEntry, host: string): void {
    const { clock, run, connect, connectTimeoutMs, isStopping } = this.#options;
    const target = parseAddress(replica.address);
    if (!target) return reject(socket, TunnelStatus.unavailable);
    const upstream = connect({ host: target.host, port: target.port });
    let isConnected = false;
    const cancelTimer = clock.after(connectTimeoutMs, () => {
      upstream.destroy();
      reject(socket, TunnelStatus.unreachable);
    });
    this.#open.add(socket);
    socket.on("close", () => {
      this.#open.delete(socket);
      upstream.destroy();
    });
    upstream.on("connect", () => {
      cancelTimer();
      if (socket.destroyed) return void upstream.destroy();
      if (isStopping()) {
        upstream.destroy();
        return reject(socket, TunnelStatus.unavailable);
      }
      isConnected = true;
      this.#noteServed(replica, host);
      const head = `HTTP/1.1 ${TunnelStatus.open} OK\r\n${RUN_HEADER}: ${run}`;
      socket.write(`${head}\r\n\r\n`);
      joinSockets(socket, upstream);
    });
    upstream.on("error", (error) => {
      cancelTimer();
      if (isConnected) return void resetSocket(socket);
      if (isRefusal(error)) void this.#rejectRefused(socket, replica);
      else reject(socket, TunnelStatus.unreachable);
    });
  }

  async #rejectRefused(socket: Socket, replica: ReplicaEntry): Promise<void> {
    const isConfirmed = await this.#options.monitor.confirmRefusal(replica);
    const { refused, unreachable } = TunnelStatus;
    reject(socket, isConfirmed ? refused : unreachable);
  }

  #noteServed({ incarnation }: ReplicaEntry, host: string): void {
    const { events, metrics } = this.#options;
    metrics.count("tunnels_served");
    events.note("tunnelServed", { replica: incarnation, host });
  }

  /**
   * Closes all tunnels with a reset: an orderly end would look like the end of
   * a response.
   */
  close(): void {
    for (const socket of this.#open) resetSocket(socket);
  }
}

function reject(socket: Socket, status: number): void {
  if (socket.destroyed) return;
  socket.end(`HTTP/1.1 ${status} Rejected\r\nConnection: close\r\n\r\n`);
}

/** Forwards bytes both ways, as fast as the slower end reads them. */
function joinSockets(socket: Socket, upstream: Socket): void {
  for (const end of [socket, upstream]) {
    end.setNoDelay(true);
    end.setKeepAlive(true, KEEP_ALIVE_MS);
    end.setTimeout(IDLE_TIMEOUT_MS, () => resetSocket(end));
  }
  socket.pipe(upstream, { end: false });
  // A peer that half-closes its connection reads no response.
  socket.on("end", () => upstream.destroy());
  upstream.on("end", () => {
    // After a reset the address of the other end is unknown (getpeername(2)).
    // The host must not take a reset for the end of a response.
    if (upstream.remoteAddress === undefined) resetSocket(socket);
    else socket.end();
  });
  upstream.on("close", (hadError) => {
    if (hadError) resetSocket(socket);
    else if (!upstream.readableEnded) resetSocket(socket);
  });
  upstream.pipe(socket, { end: false });
}
