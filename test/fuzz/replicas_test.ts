/**
 * Guards against replicas whose bytes end a host, or reach a caller as a whole
 * response to its request when they are not.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../fixed_seed.ts";
import { RouteKind } from "../../src/gateway/mod.ts";
import { fuzzReplicas, kinds } from "./fuzz_replicas.ts";
import { Damage, type ResponsePlan, responseSets } from "./replica_plan.ts";

const RUNS = 60;

const PLAN: ResponsePlan = {
  damage: Damage.none,
  framing: "chunked",
  bodyBytes: 100,
  interimCount: 0,
  partSizes: [1e6],
  ending: "kept",
  mutations: [],
};

test("random responses of replicas reach their callers whole or not at all", async () => {
  await fc.assert(
    fc.asyncProperty(kinds, responseSets, async (kind, plans) => {
      assert.deepEqual(await fuzzReplicas(kind, plans), []);
    }),
    { numRuns: RUNS, endOnFailure: false },
  );
});

for (const damage of Object.values(Damage)) {
  test(`a response whose damage is "${damage}" does not look whole`, async () => {
    for (const kind of [RouteKind.unsafe, RouteKind.streaming]) {
      const plans = [PLAN, { ...PLAN, damage }, PLAN];
      assert.deepEqual(await fuzzReplicas(kind, plans), []);
    }
  });
}
