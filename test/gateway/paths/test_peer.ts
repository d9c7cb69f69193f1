/** A host that carries connections of others to a replica, for tests. */
import { once } from "node:events";
import { createServer, type Server as HttpServer } from "node:http";
import type { AddressInfo, Server, Socket } from "node:net";
import { systemClock } from "../../../src/gateway/clock.ts";
import { TunnelServer } from "../../../src/gateway/paths/tunnel_server.ts";
import { LinkPath } from "../../../src/gateway/peers/link.ts";
import {
  PROCESS_PATH,
  reportProcess,
} from "../../../src/gateway/peers/process_report.ts";
import {
  type Connect,
  tcpConnect,
} from "../../../src/gateway/upstreams/connect.ts";
import { LOOPBACK } from "../../loopback.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** The run of a peer unless a test sets another. */
export const TEST_RUN = "1";

/** Starts a server, on a free port by default, and returns its address. */
export async function listen(
  server: Server | HttpServer,
  port = 0,
): Promise<string> {
  server.listen(port, LOOPBACK);
  await once(server, "listening");
  return `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
}

/** Options of {@link startPeer}. */
export type TestPeerOptions = {
  readonly isLost?: boolean;
  readonly isConfirmed?: boolean;
  /** Responds to links as a version that accepts none. */
  readonly isOld?: boolean;
  readonly connect?: Connect;
  /** Identifies the run of its process. */
  readonly run?: string;
  /** Time since its event loop stood still; by default, it never did. */
  readonly stalledAgoMs?: number;
  /** A free port by default. */
  readonly port?: number;
};

/** A running peer. */
export type TestPeer = {
  readonly address: string;
  readonly tunnels: TunnelServer;
  /** Number of links that were opened to it. */
  links(): number;
  /** Resets the links to it, now and later. */
  cutLinks(): void;
  /** What the signal to stop does. */
  beginStop(): void;
  stop(): void;
  /**
   * Ends its connections and its server as the operating system does for a
   * process that was killed; resolves once its port is free.
   */
  kill(): Promise<void>;
};

/** Starts a peer that lists one replica. */
export async function startPeer(
  replica: string,
  options: TestPeerOptions = {},
): Promise<TestPeer> {
  const { isLost = false, isConfirmed = true, connect = tcpConnect } = options;
  const { run = TEST_RUN, port, stalledAgoMs } = options;
  const stalls = { lastAgeMs: () => stalledAgoMs };
  const entry = { ...replicaEntry("a"), address: replica };
  let isStopping = false;
  let isCut = false;
  const links: Socket[] = [];
  const tunnels = new TunnelServer({
    clock: systemClock,
    run,
    events: { note: () => undefined },
    metrics: { count: () => undefined, countLabelled: () => undefined },
    connect,
    connectTimeoutMs: TEST_TIMEOUT_MS,
    replicaAt: (address) => address === replica ? entry : undefined,
    monitor: {
      isLost: () => isLost,
      confirmRefusal: () => Promise.resolve(isConfirmed),
    },
    isStopping: () => isStopping,
  });
  const server = createServer((request, response) => {
    links.push(request.socket);
    if (isCut) return void request.socket.destroy();
    if (request.url === PROCESS_PATH) {
      return reportProcess({ self: { run }, stalls }, response);
    }
    if (options.isOld || request.url !== LinkPath.tunnel) {
      return void response.end("{}");
    }
    tunnels.acceptLink(request, response);
  });
  const carried: Socket[] = [];
  server.on("connect", (request, socket: Socket) => {
    carried.push(socket);
    tunnels.accept(request, socket);
  });
  return {
    address: await listen(server, port),
    tunnels,
    links: () => links.length,
    cutLinks: () => {
      isCut = true;
      for (const socket of links) socket.destroy();
    },
    beginStop: () => {
      isStopping = true;
      tunnels.announceStop();
    },
    stop: () => {
      tunnels.close();
      server.closeAllConnections();
      server.close();
    },
    kill: async () => {
      const closed = once(server, "close");
      server.close();
      server.closeAllConnections();
      for (const socket of carried) socket.destroy();
      await closed;
    },
  };
}
