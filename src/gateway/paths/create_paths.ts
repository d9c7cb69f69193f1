/** Creates what a gateway knows of its network paths to replicas. */
import type { Milliseconds } from "../../util/units.ts";
import type { HostId } from "../../util/ids.ts";
import type { Clock } from "../clock.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { HostEntry } from "../port.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Connect } from "../upstreams/connect.ts";
import { CarrierLinks } from "./carrier_links.ts";
import { PathMonitor } from "./path_monitor.ts";
import { TunnelDialer } from "./tunnel_dialer.ts";

/**
 * Part of the connect timeout for this host's own path; the rest is for a
 * tunnel. It is many times a round trip between the data halls of a region.
 */
const DIRECT_SHARE = 0.25;

/** Options of {@link createPaths}. */
export type PathsOptions = {
  readonly clock: Clock;
  readonly self: { readonly id: HostId; readonly hall: string };
  readonly peers: () => readonly HostEntry[];
  /** All listed replicas. */
  readonly replicas: () => readonly ReplicaEntry[];
  readonly isListed: (incarnation: string) => boolean;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count" | "countLabelled">;
  readonly connect: Connect;
  /** Time within which a call has a connection, over whichever path. */
  readonly connectTimeoutMs: Milliseconds;
};

/** This host's paths to replicas, and the connections that they carry. */
export type ReplicaPaths = {
  readonly connect: Connect;
  readonly connectTimeoutMs: Milliseconds;
  /** Part of `connectTimeoutMs` for this host's own path. */
  readonly directTimeoutMs: Milliseconds;
  /** Part of `connectTimeoutMs` for a tunnel through a peer. */
  readonly tunnelTimeoutMs: Milliseconds;
  readonly dialer: TunnelDialer;
  readonly carriers: CarrierLinks;
  readonly monitor: PathMonitor;
};

/** Creates the state of one gateway. */
export function createPaths(options: PathsOptions): ReplicaPaths {
  const { connectTimeoutMs, connect } = options;
  const directTimeoutMs = connectTimeoutMs * DIRECT_SHARE;
  const tunnelTimeoutMs = connectTimeoutMs - directTimeoutMs;
  const carriers = new CarrierLinks(options);
  const dialer = new TunnelDialer({ ...options, carriers });
  const monitor = new PathMonitor({
    ...options,
    dialer,
    connectTimeoutMs: directTimeoutMs,
    tunnelTimeoutMs,
  });
  return {
    connect,
    connectTimeoutMs,
    directTimeoutMs,
    tunnelTimeoutMs,
    dialer,
    carriers,
    monitor,
  };
}
