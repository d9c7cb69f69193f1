/** The replica gate of a host without other hosts. */
import { systemClock } from "../../../src/gateway/clock.ts";
import { LeavingReplicas } from "../../../src/gateway/replicas/leaving_replicas.ts";
import {
  ReplicaGate,
  type ReplicaGateOptions,
} from "../../../src/gateway/replicas/replica_gate.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { loneLimits } from "../limits/lone_limits.ts";

/** Creates a gate, and the draining replicas that it uses. */
export function loneGate(options: Partial<ReplicaGateOptions> = {}): {
  readonly leaving: LeavingReplicas;
  readonly gate: ReplicaGate;
} {
  const { replicas = new ReplicaTable() } = options;
  const { events = { note: () => undefined } } = options;
  const { draining = new LeavingReplicas(replicas, events) } = options;
  const gate = new ReplicaGate({
    clock: systemClock,
    random: () => 0,
    limits: loneLimits({ events }),
    ...options,
    events,
    replicas,
    draining,
  });
  return { leaving: draining, gate };
}
