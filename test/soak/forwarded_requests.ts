/** Joins results of callers with arrivals at replicas; pure functions. */
import type { ReplicaArrival } from "../platform/replica_world.ts";
import type { CallResult } from "./call.ts";

/** A request that arrived at a replica, with the host that forwarded it. */
export type ForwardedRequest = {
  readonly host: string;
  readonly replica: string;
  readonly start: number;
  /** When the request arrived at the replica. */
  readonly atMs: number;
  /** When the caller sent the request. */
  readonly requestedAtMs: number;
  readonly reportedDraining: boolean;
  readonly backoff?: string;
};

/** Returns the arrivals of requests that are among `results`. */
export function findForwardedRequests(
  arrivals: readonly ReplicaArrival[],
  results: readonly CallResult[],
): ForwardedRequest[] {
  const calls = new Map(results.map((result) => [result.id, result]));
  return arrivals.flatMap(({ request, ...arrival }) => {
    const call = calls.get(request);
    if (!call) return [];
    return [{ ...arrival, host: call.host, requestedAtMs: call.sentAtMs }];
  });
}
