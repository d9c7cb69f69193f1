/** Builds the requests that are sent to a planner of model engines. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { PlacementRequest } from "../planning/assignment.ts";
import { type Engine, isRepeatable } from "../routing/model.ts";
import { expectedOutput, memoryTokens } from "./memory.ts";
import type { PlacementConstraints } from "./placement.ts";
import type { GatewayRequest } from "./request.ts";

/** Time needed from an assignment to the caller's first event. */
const FIRST_EVENT_MS = 600;
/**
 * Longest retry delay for callers that do not state one: about the lifetime of
 * an assignment, within which all memory is reassigned.
 */
const DEFAULT_MAX_RETRY_MS = 4000;

/** A request and the settings of its engine. */
export type EngineRequestOptions = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly engine: Engine;
};

/** Creates the placement request of one attempt. */
export function placementRequestOf(
  { context, request, engine }: EngineRequestOptions,
  constraints: PlacementConstraints,
  { id, localPrefill }: { readonly id: string; readonly localPrefill: boolean },
): PlacementRequest {
  const { receivedAt, route, service, facts, priority } = request;
  return {
    id,
    service,
    tokens: memoryTokens(facts, engine, context.tuning.outputMargin),
    promptTokens: facts.promptTokens,
    outputTokens: expectedOutput(facts),
    customer: request.customer?.name ?? "",
    objectiveMs: route.objectiveMs,
    priority,
    dueAt: receivedAt + route.objectiveMs,
    abandonAt: placementDeadline({ context, request }, constraints),
    key: facts.promptKey ?? "",
    longestRetryMs: facts.maxRetryAfterMs ?? DEFAULT_MAX_RETRY_MS,
    ...callerDeadline(request),
    mayHaveRun: constraints.mayHaveRun,
    localPrefill,
    repeatable: isRepeatable(route),
    excluded: constraints.excluded,
    boundTo: constraints.requiredVersion,
  };
}

/** When the caller stops waiting, as it states itself. */
export function callerDeadline(
  { receivedAt, facts }: Pick<GatewayRequest, "receivedAt" | "facts">,
): Pick<PlacementRequest, "deadlineAt"> {
  const { timeoutMs } = facts;
  return timeoutMs === undefined ? {} : { deadlineAt: receivedAt + timeoutMs };
}

/** The time after which an assignment is of no use. */
export function placementDeadline(
  { context, request }: Omit<EngineRequestOptions, "engine">,
  { mayHaveRun }: PlacementConstraints,
): Milliseconds {
  const { receivedAt, route, deadline } = request;
  // The caller's timeout for a started response restarts with each event.
  const waitStartedAt = mayHaveRun ? context.clock.now() : receivedAt;
  return Math.min(deadline, waitStartedAt + route.silenceMs) - FIRST_EVENT_MS;
}
