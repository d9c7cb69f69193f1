/**
 * Guards against callers whose bytes end a host, reach a replica as a request
 * that nobody sent, or get the response to another request.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { connectionBytes } from "./caller_bytes.ts";
import {
  type ConnectionPlan,
  HOSTLESS,
  MALFORMED_REQUESTS,
} from "./caller_plan.ts";
import { fuzzCallers, planSets } from "./fuzz_callers.ts";

const RUNS = 60;

const PLAN: ConnectionPlan = {
  requests: [],
  partSizes: [1e6],
  unreadTurns: 0,
  writtenShare: 1,
  ending: "kept",
  mutations: [],
};
const VALID = {
  type: "valid",
  behavior: "whole",
  framing: "none",
  bodyBytes: 10,
  fillerBytes: 0,
  isExpecting: false,
} as const;
const CHUNKED = { ...VALID, framing: "chunked" } as const;

test("random connections of callers get their own responses or are closed", async () => {
  await fc.assert(
    fc.asyncProperty(planSets, async (plans) => {
      assert.deepEqual(await fuzzCallers(plans), []);
    }),
    { numRuns: RUNS, endOnFailure: false },
  );
});

test("requests that are split at any byte are answered", async () => {
  const plan = { ...PLAN, requests: [VALID, CHUNKED, VALID] };
  const { length } = connectionBytes(plan, String);
  for (let at = 1; at < length; at++) {
    const faults = await fuzzCallers([{ ...plan, partSizes: [at, 1e6] }]);
    assert.deepEqual(faults, [], `split at ${at}`);
  }
});

for (const [index, malformed] of MALFORMED_REQUESTS.entries()) {
  test(`malformed request ${index} is refused in its turn`, async () => {
    const plan = { ...PLAN, requests: [VALID, malformed, VALID] };
    assert.deepEqual(await fuzzCallers([plan]), []);
  });
}

test("a request without Host does not close the connection for those behind it", async () => {
  const plan = { ...PLAN, requests: [VALID, HOSTLESS, VALID] };
  assert.deepEqual(await fuzzCallers([plan]), []);
  const split = { ...PLAN, requests: [HOSTLESS, VALID], partSizes: [118, 8] };
  assert.deepEqual(await fuzzCallers([split]), []);
});

test("responses before a malformed request are received by a slow sender", async () => {
  const malformed = { type: "malformed", text: "NONSENSE\r\n\r\n" } as const;
  const requests = [VALID, { ...malformed, isFramed: false }, VALID];
  const plan = { ...PLAN, requests, partSizes: [2] };
  assert.deepEqual(await fuzzCallers([plan]), []);
});
