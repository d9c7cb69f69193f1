/** Whether replicas get no more than the limits they report; pure functions. */
import type { ReplicaArrival } from "../platform/replica_world.ts";
import { LIMIT_WINDOW_MS, maxAllowed } from "../platform/rate_windows.ts";
import type { CallResult } from "./call.ts";
import type { LimitInterval } from "./replica_limits.ts";

/**
 * The longest time until a host has forwarded a response, including a margin of
 * 0.5 s.
 */
const RESPONSE_FORWARD_MS = 700;
/** The time within which a limit is known to all hosts. */
const PROPAGATION_MS = 3000;

/** What {@link findLimitViolations} judges. */
export type LimitedRequests = {
  readonly calls: readonly CallResult[];
  readonly arrivals: readonly ReplicaArrival[];
  readonly limits: readonly LimitInterval[];
  /** Hosts without a fault of the process or its network paths. */
  readonly unaffectedHosts: ReadonlySet<string>;
};

/**
 * From 3 s after a replica reported its limit, unaffected hosts that have
 * forwarded a response with that limit send it at most 1.5 times the limit plus
 * 5 requests in any 4 s, in total.
 */
export function findLimitViolations(
  { calls, arrivals, limits, unaffectedHosts }: LimitedRequests,
): string[] {
  const hostByRequest = new Map(calls.map((call) => [call.id, call.host]));
  const hostOf = (arrival: ReplicaArrival) =>
    hostByRequest.get(arrival.request) ?? "";
  const fromUnaffected = arrivals.filter((arrival) =>
    unaffectedHosts.has(hostOf(arrival))
  );
  const found: string[] = [];
  for (const { replica, text, fromMs, toMs } of limits) {
    const perSecond = Number(text);
    if (Number.isNaN(perSecond)) continue;
    const during = fromUnaffected.filter((arrival) =>
      arrival.replica === replica && arrival.atMs >= fromMs &&
      arrival.atMs < toMs
    );
    const reportedAtByHost = new Map<string, number>();
    for (const arrival of during) {
      const host = hostOf(arrival);
      const atMs = Math.min(
        arrival.atMs,
        reportedAtByHost.get(host) ?? Infinity,
      );
      reportedAtByHost.set(host, atMs);
    }
    const times = during
      .filter((arrival) =>
        arrival.atMs >=
          (reportedAtByHost.get(hostOf(arrival)) ?? Infinity) +
            RESPONSE_FORWARD_MS
      )
      .map((arrival) => arrival.atMs);
    for (
      const atMs of times.filter((time) => time >= fromMs + PROPAGATION_MS)
    ) {
      const inWindow = times.filter((time) =>
        time <= atMs && time >= atMs - LIMIT_WINDOW_MS
      );
      if (inWindow.length <= maxAllowed(perSecond)) continue;
      found.push(`${replica} at ${text}: ${inWindow.length} requests`);
      break;
    }
  }
  return found;
}
