/** Creates refusals for requests that replicas do not accept at present. */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { AssignmentRefusal } from "../planning/assignment.ts";
import type { PlacementConstraints, PlacementRefusal } from "./placement.ts";
import type { Replica } from "../replicas/replica.ts";
import type { GatewayRequest } from "./request.ts";

/** Converts a planner's refusal. */
export function plannerRefusal(
  refusal: AssignmentRefusal,
  { requiredVersion }: Pick<PlacementConstraints, "requiredVersion">,
): PlacementRefusal {
  const { reason, retryAfterMs, planner, basis } = refusal;
  const fields = { planner, ...basis };
  switch (reason) {
    case "no-replica": {
      const error = requiredVersion
        ? GatewayError.streamVersionGone
        : GatewayError.noReplica;
      return { error, basis: fields };
    }
    case "busy":
      return {
        error: basis?.isLimited ? GatewayError.limited : GatewayError.busy,
        ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
        basis: fields,
      };
    default:
      return { error: GatewayError.noMemory, basis: fields };
  }
}

/**
 * Retries of refused callers are spread over this share of the delay, and at
 * least over MIN_SPREAD_MS. The more urgent requests retry first.
 */
const SPREAD_SHARE = 0.33;
const MIN_SPREAD_MS: Milliseconds = 200;
/** Requests of a lower priority are treated like those of this rank. */
const MAX_RANK = 3;

/**
 * Retry delay for a caller whose replicas accept requests after
 * `minRetryAfterMs`.
 */
export function spreadRetryAfterMs(
  { random }: Pick<GatewayContext, "random">,
  { priority }: Pick<GatewayRequest, "priority">,
  minRetryAfterMs: Milliseconds,
): Milliseconds {
  const spreadMs = Math.max(MIN_SPREAD_MS, minRetryAfterMs * SPREAD_SHARE);
  const rank = Math.min(MAX_RANK, priority);
  return minRetryAfterMs + spreadMs * (rank + random()) / (MAX_RANK + 1);
}

/** Why no replica may serve a request, and when to try again. */
export type Unavailability =
  | {
    readonly reason: "backoff" | "unreachable";
    readonly retryAfterMs: Milliseconds;
  }
  /** No replica of the software version that began the stream is left. */
  | { readonly reason: "versionGone" };

/** Refuses a request that none of its remaining replicas may serve. */
export function unavailableRefusal(
  context: Pick<GatewayContext, "random">,
  request: Pick<GatewayRequest, "priority">,
  unavailability: Unavailability,
): PlacementRefusal {
  if (unavailability.reason === "versionGone") {
    return { error: GatewayError.streamVersionGone };
  }
  const { reason, retryAfterMs: minRetryAfterMs } = unavailability;
  const retryAfterMs = spreadRetryAfterMs(context, request, minRetryAfterMs);
  if (reason === "unreachable") {
    return { error: GatewayError.noReplica, retryAfterMs };
  }
  const basis = { backoff_ms: Math.round(minRetryAfterMs) };
  return { error: GatewayError.backingOff, retryAfterMs, basis };
}

/** Logs that a replica's rate limit leaves no room for the request. */
export function noteLimit(
  { events, limits }: Pick<GatewayContext, "events" | "limits">,
  { facts, route }: GatewayRequest,
  refused: { readonly replica: Replica; readonly retryAfterMs: Milliseconds },
): void {
  const { incarnation } = refused.replica.entry;
  events.note("limitReached", {
    request: facts.id,
    route: route.name,
    replica: incarnation,
    per_second: limits.limitOf(incarnation),
    retry_after_ms: Math.round(refused.retryAfterMs),
  });
}
