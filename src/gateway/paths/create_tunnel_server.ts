/** Creates the server of tunnels for the gateway's other state. */
import type { GatewayContext } from "../context.ts";
import { TunnelServer } from "./tunnel_server.ts";

/** Tunnels lead to listed replicas only. */
export function createTunnelServer(context: GatewayContext): TunnelServer {
  const { self, clock, events, metrics, paths, replicas, stop } = context;
  return new TunnelServer({
    clock,
    run: self.run,
    events,
    metrics,
    connect: paths.connect,
    connectTimeoutMs: paths.directTimeoutMs,
    replicaAt: (address) =>
      replicas.entries().find((entry) => entry.address === address),
    monitor: paths.monitor,
    isStopping: () => stop.requestedAt !== undefined,
  });
}
