/** Selects the placement strategy for a request. */
import {
  EnginePlacement,
  type EnginePlacementOptions,
} from "./engine_placement.ts";
import type { Placer } from "./placement.ts";
import { PlainPlacement } from "./plain_placement.ts";

/** Creates a placer for a model engine or for a plain service. */
export function createPlacer(
  options: Omit<EnginePlacementOptions, "engine">,
): Placer {
  const { context, request, planner } = options;
  const engine = context.routes.service(request.service)?.engine;
  return engine
    ? new EnginePlacement({ ...options, engine })
    : new PlainPlacement(context, request, planner);
}
