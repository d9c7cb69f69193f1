/** The replica gate of a host without other hosts. */
import { systemClock } from "../../../src/gateway/clock.ts";
import { DrainingReplicas } from "../../../src/gateway/replicas/draining_replicas.ts";
import {
  ReplicaGate,
  type ReplicaGateOptions,
} from "../../../src/gateway/replicas/replica_gate.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { singleHostLimits } from "../limits/single_host_limits.ts";

/** Creates a gate, and the draining replicas that it uses. */
export function singleHostGate(options: Partial<ReplicaGateOptions> = {}): {
  readonly draining: DrainingReplicas;
  readonly gate: ReplicaGate;
} {
  const { replicas = new ReplicaTable() } = options;
  const { events = { note: () => undefined } } = options;
  const { draining = new DrainingReplicas(replicas, events) } = options;
  const gate = new ReplicaGate({
    clock: systemClock,
    random: () => 0,
    limits: singleHostLimits({ events }),
    ...options,
    events,
    replicas,
    draining,
  });
  return { draining, gate };
}
