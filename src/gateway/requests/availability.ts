/** Selects the replicas that this host may use for a request. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { ReplicaStage } from "../replicas/model.ts";
import type { Availability } from "../replicas/replica_gate.ts";
import type { PlacementRefusal } from "./placement.ts";
import { unavailableRefusal } from "./refusals.ts";
import type { GatewayRequest } from "./request.ts";

/** Interval at which a waiting request checks that a replica is available. */
const AVAILABILITY_INTERVAL_MS: Milliseconds = 250;
/** Delay before a request whose replicas no host reaches is tried again. */
const UNREACHABLE_RETRY_MS: Milliseconds = 1000;

/** Which replicas may serve a request; none: why, and when to try again. */
export type RequestAvailability =
  | Exclude<Availability, { type: "none" }>
  | {
    readonly type: "none";
    readonly retryAfterMs: Milliseconds;
    /** No host reaches the replicas; otherwise they back off. */
    readonly isUnreachable: boolean;
  };

type AvailabilityContext = Pick<
  GatewayContext,
  "gate" | "routes" | "replicas" | "paths"
>;

/** Replicas that may serve the request, except those in `excluded`. */
export function usableReplicas(
  context: AvailabilityContext,
  { service }: GatewayRequest,
  excluded: ReadonlySet<string>,
): RequestAvailability {
  const { gate, routes } = context;
  const hasStages = routes.service(service)?.engine !== undefined;
  const stage = hasStages ? ReplicaStage.decode : undefined;
  const unreachable = unreachableReplicas(context, service);
  if (unreachable.length === 0) {
    const available = gate.available({ service, stage, excluded });
    if (available.type === "some") return available;
    return { ...available, isUnreachable: false };
  }
  const closed = new Set([...excluded, ...unreachable]);
  const answering = context.replicas.openReplicasOf(service)
    .filter(({ entry }) => entry.stage === stage);
  if (answering.every(({ entry }) => closed.has(entry.incarnation))) {
    const retryAfterMs = UNREACHABLE_RETRY_MS;
    return { type: "none", retryAfterMs, isUnreachable: true };
  }
  const available = gate.available({ service, stage, excluded: closed });
  if (available.type === "some") return available;
  return { ...available, isUnreachable: false };
}

function unreachableReplicas(
  { replicas, paths }: AvailabilityContext,
  service: string,
): string[] {
  const { monitor } = paths;
  if (!monitor.hasFailed) return [];
  const unreachable = replicas.openReplicasOf(service)
    .map(({ entry }) => entry.incarnation)
    .filter((incarnation) => monitor.isUnreachable(incarnation));
  for (const incarnation of unreachable) monitor.retry(incarnation);
  return unreachable;
}

/** Returns a refusal if no replica of the request's service is available. */
export function refusalWhenNoneAvailable(
  context: AvailabilityContext & Pick<GatewayContext, "random">,
  request: GatewayRequest,
): PlacementRefusal | undefined {
  const available = usableReplicas(context, request, new Set());
  if (available.type === "some") return undefined;
  return unavailableRefusal(context, request, available);
}

/**
 * Calls `onNone` if no replica remains available: a planner keeps a request
 * whose replicas it takes for paused. Returns a function that ends the watch.
 */
export function watchAvailability(
  { context, request }: {
    readonly context: AvailabilityContext & Pick<GatewayContext, "clock">;
    readonly request: GatewayRequest;
  },
  excluded: ReadonlySet<string>,
  onNone: () => void,
): () => void {
  let cancel = () => {};
  const schedule = () => {
    cancel = context.clock.after(AVAILABILITY_INTERVAL_MS, () => {
      const { type } = usableReplicas(context, request, excluded);
      if (type === "none") onNone();
      else schedule();
    });
  };
  schedule();
  return () => cancel();
}
