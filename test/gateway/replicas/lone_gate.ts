/** What a host that has no others beside it knows of its replicas. */
import { systemClock } from "../../../src/gateway/clock.ts";
import { LeavingReplicas } from "../../../src/gateway/replicas/leaving_replicas.ts";
import {
  ReplicaGate,
  type ReplicaGateSource,
} from "../../../src/gateway/replicas/replica_gate.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { loneLimits } from "../limits/lone_limits.ts";

/** The gate and what leaves, over a table of replicas. */
export function loneGate(change: Partial<ReplicaGateSource> = {}): {
  readonly leaving: LeavingReplicas;
  readonly gate: ReplicaGate;
} {
  const { replicas = new ReplicaTable() } = change;
  const { events = { note: () => undefined } } = change;
  const { leaving = new LeavingReplicas(replicas, events) } = change;
  const gate = new ReplicaGate({
    clock: systemClock,
    random: () => 0,
    limits: loneLimits({ events }),
    ...change,
    events,
    replicas,
    leaving,
  });
  return { leaving, gate };
}
