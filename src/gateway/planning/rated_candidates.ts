/** Leaves out the replicas that a request must not be given. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { Standing } from "./ejection.ts";
import type { RatedRequest, ReplicaRates } from "./replica_rates.ts";

/** Options of {@link ratedCandidates}. */
export type CandidateQuery = {
  readonly request: RatedRequest;
  /** Whether the replica could be given the request at once. */
  hasRoom(replica: ReplicaEntry): boolean;
};

/**
 * The replicas that may be given the request. A replica that is due for a trial
 * gets it, because its estimates would not select it. Replicas that are ejected
 * for being slow or failing are left out as long as another one has room. If
 * every replica is closed to the request, all of them may be given it.
 */
export function ratedCandidates(
  rates: ReplicaRates,
  replicas: readonly ReplicaEntry[],
  { request, hasRoom }: CandidateQuery,
  now: Milliseconds,
): readonly ReplicaEntry[] {
  const [first] = replicas;
  if (!first) return replicas;
  const suspects = rates.suspects(first.service, now);
  if (suspects.size === 0) return replicas;
  const open: ReplicaEntry[] = [];
  const spare: ReplicaEntry[] = [];
  for (const replica of replicas) {
    if (!suspects.has(replica.incarnation)) {
      open.push(replica);
      continue;
    }
    const standing = rates.standing(replica, request, now);
    if (standing === Standing.trial && hasRoom(replica)) return [replica];
    if (standing === Standing.open) open.push(replica);
    if (standing === Standing.spare) spare.push(replica);
  }
  const usable = open.some(hasRoom) ? open : [...open, ...spare];
  return usable.length > 0 ? usable : replicas;
}

/** What the rates need to know of a request. */
export function ratedRequest(
  host: string,
  { hall, repeatable, begun }: {
    readonly hall: string;
    readonly repeatable?: true;
    readonly begun: boolean;
  },
): RatedRequest {
  return { host, hall, repeatable: repeatable === true, begun };
}
