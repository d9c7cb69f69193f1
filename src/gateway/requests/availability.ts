/** Selects the replicas that this host may use for a request. */
import type { GatewayContext } from "../context.ts";
import { ReplicaStage } from "../replicas/model.ts";
import type { Availability } from "../replicas/replica_gate.ts";
import type { PlacementRefusal } from "./placement.ts";
import { backoffRefusal } from "./refusals.ts";
import type { GatewayRequest } from "./request.ts";

/** Replicas that may serve the request, except those in `excluded`. */
export function usableReplicas(
  { gate, routes }: Pick<GatewayContext, "gate" | "routes">,
  { service }: GatewayRequest,
  excluded: ReadonlySet<string>,
): Availability {
  const hasStages = routes.service(service)?.engine !== undefined;
  const stage = hasStages ? ReplicaStage.decode : undefined;
  return gate.available({ service, stage, excluded });
}

/** Returns a refusal if all replicas of the request's service back off. */
export function refusalWhenAllBackOff(
  context: Pick<GatewayContext, "gate" | "routes" | "random">,
  request: GatewayRequest,
): PlacementRefusal | undefined {
  const available = usableReplicas(context, request, new Set());
  if (available.type === "some") return undefined;
  return backoffRefusal(context, request, available.retryAfterMs);
}
