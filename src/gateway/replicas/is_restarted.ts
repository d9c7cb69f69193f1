/** Tells an incarnation that was replaced from one that is merely unlisted. */
import type { ReplicaEntry } from "./model.ts";
import type { ReplicaTable } from "./replica_table.ts";

/**
 * Whether another incarnation is listed under the replica's id. Calls carry
 * only the id, so that one would accept calls for this incarnation.
 */
export function isRestarted(
  replicas: Pick<ReplicaTable, "get" | "entries">,
  { id, incarnation }: ReplicaEntry,
): boolean {
  if (replicas.get(incarnation)) return false;
  return replicas.entries().some((entry) => entry.id === id);
}
