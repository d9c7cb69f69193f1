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

/** Closes the idle connections that go through a peer. */
export function closeIdleThrough(
  peer: string,
  sets: readonly AgentSet[],
): void {
  for (const { tunnelled } of sets) {
    for (const agent of tunnelled.values()) agent.closeIdleThrough(peer);
  }
}

/** Closes all connections. */
export function destroyAgents(sets: readonly AgentSet[]): void {
  for (const { direct, tunnelled } of sets) {
    for (const agent of direct.values()) agent.destroy();
    for (const agent of tunnelled.values()) agent.destroy();
  }
}
