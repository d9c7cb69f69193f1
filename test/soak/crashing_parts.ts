/** Checks what a soak sends of requests with a part that crashes replicas. */
import type { Observations, Violation } from "./checks.ts";

/** The prefix of ids of requests with a part that crashes replicas. */
export const CRASHING_PART_PREFIX = "part-crashing";
/** From this crash on the time runs in which hosts learn of the crashes. */
const COUNTED_CRASH = 5;
const PROPAGATION_MS = 3000;
const MAX_LATE_REQUESTS = 3;
/** Share of the other requests that may be refused for a crashing part. */
const MAX_REFUSED_SHARE = 0.01;
/** What a response says that refuses a request for a part of its prompt. */
const REFUSAL = "Replicas crash under a part";

/**
 * Late requests with the part don't reach replicas from unaffected hosts, and
 * hardly any other request is refused for it.
 */
export function checkCrashingParts(observations: Observations): Violation[] {
  return [...findLateRequests(observations), ...findRefused(observations)];
}

function findLateRequests(
  { calls, arrivals, unaffectedHosts }: Observations,
): Violation[] {
  const hostByRequest = new Map(
    calls.filter(({ id }) => id.startsWith(CRASHING_PART_PREFIX))
      .map(({ id, host }) => [id, host]),
  );
  const reached = arrivals.filter(({ request }) => hostByRequest.has(request))
    .sort((a, b) => a.atMs - b.atMs);
  const counted = reached.filter(({ ran }) => ran)[COUNTED_CRASH - 1];
  if (!counted) return [];
  const late = new Set(
    reached.filter(({ request, atMs }) =>
      atMs > counted.atMs + PROPAGATION_MS &&
      unaffectedHosts.has(hostByRequest.get(request) ?? "")
    ).map(({ request }) => request),
  );
  if (late.size <= MAX_LATE_REQUESTS) return [];
  const detail = `${late.size} of ${hostByRequest.size} requests`;
  return [{ rule: "requests with a crashing part are not sent", detail }];
}

function findRefused({ calls }: Observations): Violation[] {
  const others = calls.filter(({ id }) => !id.startsWith(CRASHING_PART_PREFIX));
  const refused = others.filter(({ body }) => body.includes(REFUSAL));
  if (refused.length <= MAX_REFUSED_SHARE * others.length) return [];
  const detail = `${refused.length} of ${others.length}`;
  return [{ rule: "requests without the crashing part are served", detail }];
}
