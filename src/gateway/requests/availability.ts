/** Selects the replicas that this host may use for a request. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { type ReplicaEntry, ReplicaStage } from "../replicas/model.ts";
import type { Availability } from "../replicas/replica_gate.ts";
import {
  hasRequiredVersion,
  type RequiredVersion,
} from "../replicas/required_version.ts";
import { placementDeadline } from "./engine_request.ts";
import type { PlacementConstraints, PlacementRefusal } from "./placement.ts";
import { type Unavailability, unavailableRefusal } from "./refusals.ts";
import type { GatewayRequest } from "./request.ts";

/** Interval at which a waiting request checks that a replica is available. */
const AVAILABILITY_INTERVAL_MS: Milliseconds = 250;
/** Delay before a request whose replicas no host reaches is tried again. */
const UNREACHABLE_RETRY_MS: Milliseconds = 1000;

/** Which replicas may serve a request, or why none may. */
export type RequestAvailability =
  | Exclude<Availability, { type: "none" }>
  | ({ readonly type: "none" } & Unavailability);

type ReplicaConstraints = Pick<
  PlacementConstraints,
  "excluded" | "requiredVersion"
>;
type AvailabilityContext = Pick<
  GatewayContext,
  "gate" | "routes" | "replicas" | "paths"
>;

/** Replicas that may serve the request under the constraints. */
export function usableReplicas(
  context: AvailabilityContext,
  { service }: Pick<GatewayRequest, "service">,
  { excluded, requiredVersion }: ReplicaConstraints,
): RequestAvailability {
  const { gate, routes } = context;
  const hasStages = routes.service(service)?.engine !== undefined;
  const stage = hasStages ? ReplicaStage.decode : undefined;
  const unreachable = unreachableReplicas(context, service);
  const closed = unreachable.length === 0
    ? excluded
    : new Set([...excluded, ...unreachable]);
  const answering = requiredVersion || unreachable.length > 0
    ? context.replicas.openReplicasOf(service).map(({ entry }) => entry)
      .filter((entry) =>
        entry.stage === stage && hasRequiredVersion(entry, requiredVersion)
      )
    : undefined;
  if (requiredVersion && answering && areAllIn(excluded, answering)) {
    return { type: "none", reason: "versionGone" };
  }
  if (answering && areAllIn(closed, answering)) {
    const retryAfterMs = UNREACHABLE_RETRY_MS;
    return { type: "none", reason: "unreachable", retryAfterMs };
  }
  const available = gate.available({
    service,
    stage,
    excluded: closed,
    requiredVersion,
  });
  if (available.type === "some") return available;
  return { ...available, reason: "backoff" };
}

function areAllIn(
  incarnations: ReadonlySet<string>,
  entries: readonly ReplicaEntry[],
): boolean {
  return entries.every(({ incarnation }) => incarnations.has(incarnation));
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

/**
 * How long to wait for a replica to become available; undefined: refuse the
 * request. Waiting is better than failing a response that has started, unless
 * its caller can resume it sooner than a replica comes back.
 */
export function availabilityWaitMs(
  { context, request, constraints }: {
    readonly context: GatewayContext;
    readonly request: GatewayRequest;
    readonly constraints: PlacementConstraints;
  },
  unavailability: Unavailability,
): Milliseconds | undefined {
  const { reason } = unavailability;
  if (!constraints.mayHaveRun || reason === "versionGone") return undefined;
  if (reason === "unreachable" && constraints.requiredVersion) return undefined;
  const { retryAfterMs } = unavailability;
  const deadline = placementDeadline({ context, request }, constraints);
  const isLate = context.clock.now() + retryAfterMs >= deadline;
  return isLate ? undefined : retryAfterMs;
}

/** Replicas of the request's service that lack the required version. */
export function otherVersions(
  { replicas }: Pick<GatewayContext, "replicas">,
  { service }: Pick<GatewayRequest, "service">,
  requiredVersion: RequiredVersion | undefined,
): string[] {
  if (!requiredVersion) return [];
  return replicas.openReplicasOf(service).map(({ entry }) => entry)
    .filter(({ stage }) => stage !== ReplicaStage.prefill)
    .filter((entry) => !hasRequiredVersion(entry, requiredVersion))
    .map(({ incarnation }) => incarnation);
}

/** Returns a refusal if no replica of the required version is available. */
export function refusalWhenNoneAvailable(
  context: AvailabilityContext & Pick<GatewayContext, "random">,
  { request, requiredVersion }: {
    readonly request: GatewayRequest;
    readonly requiredVersion: RequiredVersion | undefined;
  },
): PlacementRefusal | undefined {
  const constraints = { excluded: new Set<string>(), requiredVersion };
  const available = usableReplicas(context, request, constraints);
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
  constraints: ReplicaConstraints,
  onNone: () => void,
): () => void {
  let cancel = () => {};
  const schedule = () => {
    cancel = context.clock.after(AVAILABILITY_INTERVAL_MS, () => {
      const { type } = usableReplicas(context, request, constraints);
      if (type === "none") onNone();
      else schedule();
    });
  };
  schedule();
  return () => cancel();
}
