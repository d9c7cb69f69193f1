/** A host that carries connections of others to a replica, for tests. */
import { once } from "node:events";
import { createServer, type Server as HttpServer } from "node:http";
import type { AddressInfo, Server, Socket } from "node:net";
import { systemClock } from "../../../src/gateway/clock.ts";
import { TunnelServer } from "../../../src/gateway/paths/tunnel_server.ts";
import { tcpConnect } from "../../../src/gateway/upstreams/connect.ts";
import { LOOPBACK } from "../../loopback.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** Starts a server on a free port and returns its address. */
export async function listen(server: Server | HttpServer): Promise<string> {
  server.listen(0, LOOPBACK);
  await once(server, "listening");
  return `${LOOPBACK}:${(server.address() as AddressInfo).port}`;
}

/** A running peer. */
export type TestPeer = {
  readonly address: string;
  readonly tunnels: TunnelServer;
  stop(): void;
};

/** Starts a peer that lists one replica. */
export async function startPeer(
  replica: string,
  own: { readonly isLost?: boolean; readonly isConfirmed?: boolean } = {},
): Promise<TestPeer> {
  const { isLost = false, isConfirmed = true } = own;
  const entry = { ...replicaEntry("a"), address: replica };
  const tunnels = new TunnelServer({
    clock: systemClock,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    connect: tcpConnect,
    connectTimeoutMs: TEST_TIMEOUT_MS,
    replicaAt: (address) => address === replica ? entry : undefined,
    monitor: {
      isLost: () => isLost,
      confirmRefusal: () => Promise.resolve(isConfirmed),
    },
    isStopping: () => false,
  });
  const server = createServer();
  server.on("connect", (request, socket: Socket) => {
    tunnels.accept(request, socket);
  });
  return {
    address: await listen(server),
    tunnels,
    stop: () => {
      tunnels.close();
      server.closeAllConnections();
      server.close();
    },
  };
}
