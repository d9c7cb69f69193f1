/**
 * Finds requests that hosts sent despite a drain or backoff notice; pure
 * functions.
 */
import type { ForwardedRequest } from "./forwarded_requests.ts";

/** After this time a host sends the replica no request that a caller sends. */
const DRAIN_MS = 2000;
/** The time within which a host forwards a response. */
const RESPONSE_FORWARD_MS = 500;
/** The time within which requests in flight reach the replica. */
const IN_FLIGHT_MS = 500;
/** A valid backoff: a decimal number of seconds. */
const DECIMAL = /^\d+(\.\d+)?$/;
/** Requests that may arrive during a backoff. */
const MAX_SENDS_IN_BACKOFF = 2;

/**
 * Finds hosts that still sent requests to a replica which had reported to them
 * that it drains.
 */
export function findSendsAfterDrainNotice(
  sent: readonly ForwardedRequest[],
): string[] {
  return groupByHostAndStart(sent).flatMap((group) => {
    const notice = group.find((request) => request.reportedDraining);
    if (!notice) return [];
    const latestMs = notice.atMs + RESPONSE_FORWARD_MS + DRAIN_MS;
    const count = group.filter((request) =>
      request.requestedAtMs > latestMs
    ).length;
    if (count === 0) return [];
    return [
      `${count} from ${notice.host} to ${notice.replica}, which is draining`,
    ];
  });
}

/** Finds backoffs during which the host sent too many requests. */
export function findBackoffViolations(
  sent: readonly ForwardedRequest[],
): string[] {
  return groupByHostAndStart(sent).flatMap((group) =>
    group.flatMap(({ host, replica, atMs, backoff }) => {
      if (backoff === undefined || !DECIMAL.test(backoff)) return [];
      const seconds = Number(backoff);
      const count = group.filter((request) =>
        request.atMs > atMs + IN_FLIGHT_MS &&
        request.atMs < atMs + seconds * 1000
      ).length;
      if (count <= MAX_SENDS_IN_BACKOFF) {
        return [];
      }
      return [
        `${count} from ${host} to ${replica} in a backoff of ${backoff} s`,
      ];
    })
  );
}

/** Groups requests by host and replica start, in order of arrival. */
function groupByHostAndStart(
  sent: readonly ForwardedRequest[],
): ForwardedRequest[][] {
  const groups = new Map<string, ForwardedRequest[]>();
  for (const request of [...sent].sort((a, b) => a.atMs - b.atMs)) {
    const key = `${request.host} ${request.start}`;
    const group = groups.get(key);
    if (group) group.push(request);
    else groups.set(key, [request]);
  }
  return [...groups.values()];
}
