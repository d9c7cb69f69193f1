/** What a planner of model engines is asked for. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { PlacementRequest } from "../planning/places.ts";
import type { Engine } from "../routing/model.ts";
import { reservedTokens } from "./memory.ts";
import type { PlaceNeed } from "./placement.ts";
import type { GatewayRequest } from "./request.ts";

/** Time from a grant to the caller's first event: the prefill and the way. */
const SERVICE_MS = 600;
/**
 * Longest time to come back where the caller doesn't say how long it waits:
 * about the life of a place, after which all memory was given anew.
 */
const USUAL_RETRY_MS = 4000;

/** A request, and how its engine runs. */
export type EngineRequestSource = {
  readonly context: GatewayContext;
  readonly request: GatewayRequest;
  readonly engine: Engine;
};

/** The placement request of one try; `whole`: the prompt is read where it runs. */
export function placementRequestOf(
  { context, request, engine }: EngineRequestSource,
  need: PlaceNeed,
  { id, whole }: { readonly id: string; readonly whole: boolean },
): PlacementRequest {
  const { receivedAt, route, service, facts, priority } = request;
  return {
    id,
    service,
    tokens: reservedTokens(facts, engine, context.tuning.outputMargin),
    promptTokens: facts.promptTokens,
    priority,
    dueAt: receivedAt + route.objectiveMs,
    giveUpAt: placeGiveUpAt({ context, request }, need),
    key: facts.promptKey ?? "",
    longestRetryMs: facts.longestRetryMs ?? USUAL_RETRY_MS,
    begun: need.begun,
    whole,
    excluded: need.excluded,
  };
}

/** A place after this time is of no use. */
export function placeGiveUpAt(
  { context, request }: Omit<EngineRequestSource, "engine">,
  { begun }: PlaceNeed,
): Milliseconds {
  const { receivedAt, route, limitAt } = request;
  // The caller of a started answer waits anew after each event.
  const waitsSince = begun ? context.clock.now() : receivedAt;
  return Math.min(limitAt, waitsSince + route.silenceMs) - SERVICE_MS;
}
