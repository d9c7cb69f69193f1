/** How long requests wait for replicas that are unavailable at present. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { availabilityWaitMs } from "../../../src/gateway/requests/availability.ts";
import type { GatewayRequest } from "../../../src/gateway/requests/request.ts";

const context = { clock: { now: () => 0 } } as GatewayContext;
const request = {
  receivedAt: 0,
  deadline: 10_000,
  route: { silenceMs: 10_000 },
} as GatewayRequest;

const started = { excluded: new Set<string>(), mayHaveRun: true };
const bound = { ...started, requiredVersion: { softwareVersion: "v1" } };
const backoff = { reason: "backoff", retryAfterMs: 1000 } as const;
const unreachable = { reason: "unreachable", retryAfterMs: 1000 } as const;

test("a started response waits for a replica, a new request does not", () => {
  const waitMs = (constraints: typeof started) =>
    availabilityWaitMs({ context, request, constraints }, backoff);
  assert.equal(waitMs(started), 1000);
  assert.equal(waitMs({ ...started, mayHaveRun: false }), undefined);
});

test("a bound stream is broken off when no host reaches its version", () => {
  const options = { context, request, constraints: bound };
  assert.equal(availabilityWaitMs(options, unreachable), undefined);
  assert.equal(
    availabilityWaitMs(options, { reason: "versionGone" }),
    undefined,
  );
  assert.equal(availabilityWaitMs(options, backoff), 1000);
  const unbound = { context, request, constraints: started };
  assert.equal(availabilityWaitMs(unbound, unreachable), 1000);
});
