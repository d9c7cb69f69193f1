/** Looks up the replicas that a planner has assigned. */
import type { GatewayContext } from "../context.ts";
import type { Assignment } from "../planning/assignment.ts";
import type { Replica } from "../replicas/replica.ts";
import { hasRequiredVersion } from "../replicas/required_version.ts";
import type { PlacementConstraints } from "./placement.ts";

/** The replicas of an assignment, as listed at this host. */
export type ReplicaChoice = {
  readonly replica: Replica;
  readonly prefill?: Replica;
};

/**
 * The replicas of an assignment; undefined if its decode replica is not listed,
 * is closed to this host or lacks the required version. Only the decode replica
 * writes a stream, so the version of the prefill replica does not matter.
 */
export function usableChoice(
  { replicas, gate }: Pick<GatewayContext, "replicas" | "gate">,
  assignment: Assignment,
  { requiredVersion }: Pick<PlacementConstraints, "requiredVersion">,
): ReplicaChoice | undefined {
  const replica = replicas.get(assignment.decode);
  if (!replica || gate.obstacle(replica)) return undefined;
  if (!hasRequiredVersion(replica.entry, requiredVersion)) return undefined;
  const prefill = assignment.prefill === undefined
    ? undefined
    : replicas.get(assignment.prefill);
  return prefill ? { replica, prefill } : { replica };
}
