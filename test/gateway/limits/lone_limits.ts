/** Limits of replicas at a host that has no others beside it. */
import { systemClock } from "../../../src/gateway/clock.ts";
import {
  ReplicaLimits,
  type ReplicaLimitsSource,
} from "../../../src/gateway/limits/replica_limits.ts";

/** A host alone, whose process has run for long. */
export function loneLimits(
  change: Partial<ReplicaLimitsSource> = {},
): ReplicaLimits {
  return new ReplicaLimits({
    self: { id: "host", hall: "hall", run: "1" },
    clock: systemClock,
    events: { note: () => undefined },
    metrics: { count: () => undefined },
    replicaOf: () => undefined,
    hosts: () => [],
    hostCount: () => 1,
    openLink: () => {
      throw new Error("A lone host has nobody to link to");
    },
    ...change,
  });
}
