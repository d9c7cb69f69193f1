/** What is told where the limits of replicas have no room for a request. */
import type { Milliseconds } from "../../core/ids.ts";
import { GatewayError } from "../answers.ts";
import type { GatewayContext } from "../context.ts";
import type { RefusalBasis } from "../planning/messages.ts";
import type { Replica } from "../replicas/replica.ts";
import type { GatewayRequest } from "./request.ts";

/** Why a planner has no place: by its basis, for the limits or for the load. */
export function fullError(basis: RefusalBasis | undefined): GatewayError {
  return basis?.isLimited ? GatewayError.limited : GatewayError.busy;
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
