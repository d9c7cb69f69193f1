/** The limits of replicas at a host without other hosts. */
import { systemClock } from "../../../src/gateway/clock.ts";
import {
  ReplicaLimits,
  type ReplicaLimitsOptions,
} from "../../../src/gateway/limits/replica_limits.ts";

/** Creates the limits of a single host. */
export function singleHostLimits(
  options: Partial<ReplicaLimitsOptions> = {},
): ReplicaLimits {
  return new ReplicaLimits({
    self: { id: "host", hall: "hall", run: "1" },
    clock: systemClock,
    events: { note: () => undefined },
    metrics: { count: () => undefined, countLabelled: () => undefined },
    replicaOf: () => undefined,
    hosts: () => [],
    hostCount: () => 1,
    openLink: () => {
      throw new Error("unexpected link: the fleet has a single host");
    },
    ...options,
  });
}
