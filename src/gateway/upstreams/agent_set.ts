/** The HTTP agents for one kind of call, one for each replica and path. */
import type { TunnelAgent } from "../paths/tunnel_agent.ts";
import type { ReplicaAgent } from "./replica_agent.ts";

/** HTTP agents by incarnation of a replica, for each kind of path. */
export type AgentSet = {
  /** Whether a connection carries more than one call. */
  readonly keepAlive: boolean;
  readonly direct: Map<string, ReplicaAgent>;
  readonly tunnelled: Map<string, TunnelAgent>;
};

/** Creates a set without agents. */
export function createAgentSet(
  { keepAlive }: Pick<AgentSet, "keepAlive">,
): AgentSet {
  return { keepAlive, direct: new Map(), tunnelled: new Map() };
}
