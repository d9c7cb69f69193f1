/** Which kind of places a request wants. */
import { EnginePlacement, type EngineSource } from "./engine_placement.ts";
import type { Placer } from "./placement.ts";
import { PlainPlacement } from "./plain_placement.ts";

/** Finds places at model engines, or at replicas of a plain service. */
export function createPlacer(source: Omit<EngineSource, "engine">): Placer {
  const { context, request, places } = source;
  const engine = context.routes.service(request.service)?.engine;
  return engine
    ? new EnginePlacement({ ...source, engine })
    : new PlainPlacement(context, request, places);
}
