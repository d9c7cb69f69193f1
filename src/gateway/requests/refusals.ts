/** What is told where replicas take no request for a time. */
import type { Milliseconds } from "../../util/units.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { NoPlace } from "../planning/places.ts";
import type { PlaceRefusal } from "./placement.ts";
import type { Replica } from "../replicas/replica.ts";
import type { GatewayRequest } from "./request.ts";

/** Why there is no place, as a planner says. */
export function plannerRefusal(place: NoPlace): PlaceRefusal {
  const { reason, retryAfterMs, planner, basis } = place;
  const fields = { planner, ...basis };
  switch (reason) {
    case "no-replica":
      return { error: GatewayError.noReplica, basis: fields };
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
 * Callers that this host refuses for a time come back over this part of it, and
 * over this time at least, the more urgent first.
 */
const SPREAD = 0.33;
const LEAST_SPREAD_MS: Milliseconds = 200;
/** Less urgent requests come back together with those of this rank. */
const LAST_RANK = 3;

/** When a caller is to come back to replicas that take one after `soonestMs`. */
export function comeBackMs(
  { random }: Pick<GatewayContext, "random">,
  { priority }: Pick<GatewayRequest, "priority">,
  soonestMs: Milliseconds,
): Milliseconds {
  const spreadMs = Math.max(LEAST_SPREAD_MS, soonestMs * SPREAD);
  const rank = Math.min(LAST_RANK, priority);
  return soonestMs + spreadMs * (rank + random()) / (LAST_RANK + 1);
}

/** All replicas that are left asked this host for a pause. */
export function backoffRefusal(
  context: Pick<GatewayContext, "random">,
  request: Pick<GatewayRequest, "priority">,
  soonestMs: Milliseconds,
): PlaceRefusal {
  const retryAfterMs = comeBackMs(context, request, soonestMs);
  const basis = { backoff_ms: Math.round(soonestMs) };
  return { error: GatewayError.backingOff, retryAfterMs, basis };
}

/** Logs that a replica's limit has no room for the request now. */
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
