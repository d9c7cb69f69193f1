/** Crash detection of a rig, which asks its replicas and peers over the network. */
import {
  CrashWatch,
  type CrashWatchOptions,
} from "../../../src/gateway/crashes/crash_watch.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { PeerConnections } from "../../../src/gateway/peers/peer_connections.ts";
import { askProcess } from "../../../src/gateway/peers/process_report.ts";
import { readReplicaId } from "../../../src/gateway/replicas/health_check.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** What a rig shares with its crash detection. */
export type RigCrashWatchOptions =
  & Pick<CrashWatchOptions, "clock" | "events" | "metrics" | "stalls">
  & Pick<
    GatewayContext,
    "paths" | "replicas" | "starts" | "pool" | "dialect" | "routes"
  >;

/** Creates the crash detection of a rig. */
export function rigCrashWatch(options: RigCrashWatchOptions): CrashWatch {
  const { clock, events, metrics, stalls, paths, replicas } = options;
  const connections = new PeerConnections((address) =>
    createJsonClient(address, clock)
  );
  return new CrashWatch({
    clock,
    events,
    metrics,
    stalls,
    host: "host",
    rule: { crashThreshold: 3, ttlMs: TEST_TIMEOUT_MS },
    isDraining: (entry) => replicas.isDraining(entry),
    probe: (entry) => paths.monitor.probe(entry),
    countReplicas: () => 2,
    findStart: (entry) => options.starts.findOnce(entry),
    readId: (entry) => readReplicaId(options, entry),
    askPeer: (peer) => askProcess(peer, { clock, connections }),
    isAlive: () => Promise.resolve(false),
  });
}
