/** Exports of finished prefills that decode replicas fetch. */
import type { ReplicaWorld } from "./replica_world.ts";

/**
 * Removes the export of a finished prefill; false if it is missing or expired.
 */
export function popExport(
  world: ReplicaWorld,
  from: string,
  id: string,
): boolean {
  const found = world.exports.get(from);
  world.exports.delete(from);
  if (!found || found.expiresAt < performance.now()) return false;
  if (found.request === id) return true;
  world.faults.push({ what: "It used another request's prefill", request: id });
  return false;
}
