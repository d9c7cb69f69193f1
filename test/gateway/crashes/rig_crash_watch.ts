/** Crash detection of a rig, which asks its replicas and peers over the network. */
import {
  CrashWatch,
  type CrashWatchOptions,
} from "../../../src/gateway/crashes/crash_watch.ts";
import type { ReplicaPaths } from "../../../src/gateway/paths/create_paths.ts";
import { PeerConnections } from "../../../src/gateway/peers/peer_connections.ts";
import { askProcess } from "../../../src/gateway/peers/process_report.ts";
import type { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** What a rig shares with its crash detection. */
export type RigCrashWatchOptions =
  & Pick<CrashWatchOptions, "clock" | "events" | "metrics">
  & { readonly paths: ReplicaPaths; readonly replicas: ReplicaTable };

/** Creates the crash detection of a rig. */
export function rigCrashWatch(options: RigCrashWatchOptions): CrashWatch {
  const { paths, replicas, ...recorded } = options;
  const { clock } = recorded;
  const connections = new PeerConnections((address) =>
    createJsonClient(address, clock)
  );
  return new CrashWatch({
    ...recorded,
    host: "host",
    rule: { crashThreshold: 3, ttlMs: TEST_TIMEOUT_MS },
    isDraining: (entry) => replicas.isDraining(entry),
    probe: (entry) => paths.monitor.probe(entry),
    countReplicas: () => 2,
    isPeerRunning: async (peer) =>
      await askProcess(peer, { clock, connections }) !== undefined,
    isAlive: () => Promise.resolve(false),
  });
}
