/** Looks up the replicas that a planner has assigned. */
import type { GatewayContext } from "../context.ts";
import type { Assignment } from "../planning/assignment.ts";
import type { Replica } from "../replicas/replica.ts";

/** The replicas of an assignment, as listed at this host. */
export type ReplicaChoice = {
  readonly replica: Replica;
  readonly prefill?: Replica;
};

/**
 * The replicas of an assignment; undefined if its decode replica is not listed
 * or is closed to this host.
 */
export function usableChoice(
  { replicas, gate }: Pick<GatewayContext, "replicas" | "gate">,
  assignment: Assignment,
): ReplicaChoice | undefined {
  const replica = replicas.get(assignment.decode);
  if (!replica || gate.obstacle(replica)) return undefined;
  const prefill = assignment.prefill === undefined
    ? undefined
    : replicas.get(assignment.prefill);
  return prefill ? { replica, prefill } : { replica };
}
