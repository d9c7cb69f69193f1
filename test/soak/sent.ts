/** What hosts sent to replicas, from what callers and replicas saw; pure. */
import type { ReplicaArrival } from "../platform/replica_standin.ts";
import type { Seen } from "./callers.ts";

/** A request at a replica, with the host that sent it there. */
export type Sent = {
  readonly host: string;
  readonly replica: string;
  readonly start: number;
  /** When it came to the replica. */
  readonly atMs: number;
  /** When its caller sent it. */
  readonly calledAtMs: number;
  readonly saidLeaving: boolean;
  readonly backoff?: string;
};

/** What came to replicas from hosts. */
export function sentBy(
  arrivals: readonly ReplicaArrival[],
  seen: readonly Seen[],
): Sent[] {
  const calls = new Map(seen.map((one) => [one.id, one]));
  return arrivals.flatMap(({ request, ...arrival }) => {
    const call = calls.get(request);
    if (!call) return [];
    return [{ ...arrival, host: call.host, calledAtMs: call.sentAtMs }];
  });
}
