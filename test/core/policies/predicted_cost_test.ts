/** The choice by predicted cost. */
import { test } from "node:test";
import assert from "node:assert/strict";
import {
  type Candidate,
  createWorld,
  predictedCost,
  type Query,
  step,
} from "../../../src/core/mod.ts";
import { hostListOf, smallLayout } from "../../fake/layout.ts";

const world = createWorld({
  self: { id: "brest-1", hall: "brest", region: "region", incarnation: 1 },
  seed: 1,
});
const list = { revision: 1, entries: hostListOf(smallLayout()) };
step(world, [{ type: "hostList", list }], 0);

function candidate(id: string, given: Partial<Candidate> = {}): Candidate {
  const upstream = world.upstreams.get(id);
  assert.ok(upstream);
  return {
    upstream,
    queueTokens: 0,
    cachedTokens: 0,
    victimAgeMs: Infinity,
    rate: 20_000,
    held: 0,
    decoding: 0,
    slots: 40,
    stepMs: 20,
    transferTokens: 0,
    ...given,
  };
}

const QUERY: Query = {
  promptTokens: 8000,
  wholePrefillTokens: 256,
  exportUpstream: "",
  hall: "",
  slackMs: 560,
  transferMsPerToken: 0.0128,
};

function chosen(query: Query, prefill: Candidate[], decode: Candidate[]) {
  const choice = predictedCost.choose(query, { prefill, decode });
  return [choice?.prefill?.upstream.id, choice?.decode.upstream.id];
}

test("a warm upstream is taken while its queue costs less than a miss", () => {
  const cold = candidate("p-quimper");
  const decode = [candidate("d-brest")];
  const warm = (queueTokens: number) =>
    candidate("p-brest", { cachedTokens: 7680, queueTokens });
  assert.equal(chosen(QUERY, [warm(2000), cold], decode)[0], "p-brest");
  const late = { ...QUERY, slackMs: 10_000 };
  assert.equal(chosen(late, [warm(20_000), cold], decode)[0], "p-quimper");
});

test("a place that is on time goes before a cheaper one that is late", () => {
  const warm = candidate("p-brest", {
    cachedTokens: 7680,
    queueTokens: 9000,
  });
  const cold = candidate("p-quimper");
  const decode = [candidate("d-brest")];
  assert.equal(chosen(QUERY, [warm, cold], decode)[0], "p-quimper");
});

test("the wait for a busy link counts", () => {
  const busy = candidate("p-brest", { transferTokens: 60_000 });
  const free = candidate("p-quimper", { queueTokens: 1000 });
  const decode = [candidate("d-brest")];
  assert.equal(chosen(QUERY, [busy, free], decode)[0], "p-quimper");
});

test("a small prompt skips the prefill pool", () => {
  const small = { ...QUERY, promptTokens: 100 };
  const prefill = [candidate("p-brest")];
  assert.deepEqual(chosen(small, prefill, [candidate("d-brest")]), [
    undefined,
    "d-brest",
  ]);
});

test("a decode in the caller's hall may be a little fuller", () => {
  const near = { ...QUERY, hall: "brest" };
  const prefill = [candidate("p-brest")];
  const far = candidate("d-quimper");
  const decode = (held: number) => [candidate("d-brest", { held }), far];
  assert.equal(chosen(near, prefill, decode(4))[1], "d-brest");
  assert.equal(chosen(near, prefill, decode(10))[1], "d-quimper");
});

test("without a free slot there is no choice", () => {
  const full = candidate("d-brest", { held: 40 });
  const choice = predictedCost.choose(QUERY, {
    prefill: [candidate("p-brest")],
    decode: [full],
  });
  assert.equal(choice, undefined);
});
