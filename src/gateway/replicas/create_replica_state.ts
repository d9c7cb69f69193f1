/** Creates one host's state of the replicas. */
import type { HostId } from "../../util/ids.ts";
import type { Clock } from "../clock.ts";
import { ReplicaLimits } from "../limits/replica_limits.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { Link, LinkEvents, LinkTarget } from "../peers/link.ts";
import type { HostDirectory } from "../peers/directory.ts";
import { DrainingReplicas } from "./draining_replicas.ts";
import { ReplicaGate } from "./replica_gate.ts";
import { ReplicaTable } from "./replica_table.ts";

/** Options of {@link createReplicaState}. */
export type ReplicaStateOptions = {
  readonly self: {
    readonly id: HostId;
    readonly hall: string;
    readonly run: string;
  };
  readonly clock: Clock;
  /** Returns numbers in [0, 1). */
  readonly random: () => number;
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count" | "countLabelled">;
  readonly directory: Pick<HostDirectory, "entries" | "count">;
  readonly openLink: (target: LinkTarget, events: LinkEvents) => Link;
};

/** The replicas, and the components that decide on sends to them. */
export type ReplicaState = {
  readonly replicas: ReplicaTable;
  readonly limits: ReplicaLimits;
  readonly draining: DrainingReplicas;
  readonly gate: ReplicaGate;
};

/** Creates the empty state of a host that starts. */
export function createReplicaState(options: ReplicaStateOptions): ReplicaState {
  const { self, clock, random, events, metrics, directory, openLink } = options;
  const replicas = new ReplicaTable();
  const draining = new DrainingReplicas(replicas, events);
  const limits = new ReplicaLimits({
    self,
    clock,
    events,
    metrics,
    replicaOf: (incarnation) => replicas.get(incarnation),
    hosts: () => directory.entries(),
    hostCount: () => directory.count,
    openLink,
  });
  const gate = new ReplicaGate({
    clock,
    random,
    events,
    replicas,
    draining,
    limits,
  });
  return { replicas, limits, draining, gate };
}
