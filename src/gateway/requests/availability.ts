/** Which replicas a host may use for one of its requests now. */
import type { GatewayContext } from "../context.ts";
import { ReplicaStage } from "../replicas/model.ts";
import type { Availability } from "../replicas/replica_gate.ts";
import type { PlaceRefusal } from "./placement.ts";
import { backoffRefusal } from "./refusals.ts";
import type { GatewayRequest } from "./request.ts";

/** Replicas that may answer the request, but for those in `excluded`. */
export function availableFor(
  { gate, routes }: Pick<GatewayContext, "gate" | "routes">,
  { service }: GatewayRequest,
  excluded: ReadonlySet<string>,
): Availability {
  const hasStages = routes.service(service)?.engine !== undefined;
  const stage = hasStages ? ReplicaStage.decode : undefined;
  return gate.available({ service, stage, excluded });
}

/** Refuses the request if all replicas of its service asked for a pause. */
export function closedRefusal(
  context: Pick<GatewayContext, "gate" | "routes" | "random">,
  request: GatewayRequest,
): PlaceRefusal | undefined {
  const available = availableFor(context, request, new Set());
  if (available.type === "some") return undefined;
  return backoffRefusal(context, request, available.retryAfterMs);
}
