/** Routes for tests of how configurations propagate. */
import { type Route, RouteKind } from "../../../src/gateway/mod.ts";

/** Creates `count` routes to one service. */
export function routesOf(count: number): Route[] {
  return Array.from({ length: count }, (_, at) => ({
    name: `route-${at}`,
    host: "example",
    pathPrefix: `/prefix-${at}/`,
    kind: RouteKind.safe,
    timeoutMs: 1,
    objectiveMs: 1,
    gapMs: 1,
    silenceMs: 1,
    attempts: 1,
    priority: 1,
    targets: [{ service: "service", weight: 1 }],
    resumable: false,
    anonymous: false,
  }));
}
