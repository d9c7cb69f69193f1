/** The route of test rigs. */
import { type Route, RouteKind } from "../../src/gateway/mod.ts";
import { TEST_TIMEOUT_MS } from "./test_tuning.ts";

/** A safe route to one service. */
export const TEST_ROUTE: Route = {
  name: "route",
  host: "example",
  pathPrefix: "/a/",
  kind: RouteKind.safe,
  timeoutMs: TEST_TIMEOUT_MS,
  objectiveMs: TEST_TIMEOUT_MS,
  gapMs: TEST_TIMEOUT_MS,
  silenceMs: TEST_TIMEOUT_MS,
  attempts: 2,
  priority: 1,
  targets: [{ service: "service", weight: 1 }],
  resumable: false,
  anonymous: false,
};
