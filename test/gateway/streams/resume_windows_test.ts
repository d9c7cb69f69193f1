/** How long a version is remembered follows the routes in force. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import { ResumeWindows } from "../../../src/gateway/streams/resume_windows.ts";

function configOf(
  ...routes: readonly [service: string, timeoutMs: number, resumable: boolean][]
): RouteConfig {
  return {
    routes: routes.map(([service, timeoutMs, resumable]) => ({
      timeoutMs,
      resumable,
      targets: [{ service, weight: 1 }],
    })),
  } as unknown as RouteConfig;
}

test("the longest timeout of a service's resumable routes counts", () => {
  const routes: { config: RouteConfig | undefined } = { config: undefined };
  const windows = new ResumeWindows(routes);
  assert.equal(windows.of("a"), 0);
  routes.config = configOf(["a", 5, true], ["a", 7, true], ["a", 9, false]);
  assert.equal(windows.of("a"), 7);
  assert.equal(windows.of("b"), 0);
  routes.config = configOf(["a", 3, true]);
  assert.equal(windows.of("a"), 3);
});
