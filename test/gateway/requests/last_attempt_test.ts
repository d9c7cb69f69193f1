/**
 * Guards against requests that fail with an unknown outcome long before their
 * deadline: a late attempt was ended though no other could follow it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RawAnswer } from "../raw_replica.ts";
import { type RigOptions, withRig } from "../rig.ts";
import { BUDGET, healthy, requestsAt } from "./notice_rig.ts";

/** After this time another replica is tried. */
const OBJECTIVE_MS = 100;
const SLOW_MS = 600;
/** The most sends of one request. */
const MAX_SENDS = 4;
const NO_BUDGET = { ratio: 0, extra: 0 };

const slow: RawAnswer = (request, socket) => {
  setTimeout(() => healthy(request, socket), SLOW_MS);
};

/** Calls a service of slow replicas; returns the status and the sends. */
async function callSlow(
  { attempts, replicas, budget }: {
    readonly attempts: number;
    readonly replicas: number;
    readonly budget: RigOptions["budget"] & object;
  },
): Promise<{ readonly status: number; readonly sends: number }> {
  const options = {
    route: { objectiveMs: OBJECTIVE_MS, attempts },
    replicas: Array.from({ length: replicas }, () => ({ answer: slow })),
    budget,
  };
  let outcome = { status: 0, sends: 0 };
  await withRig(options, async (rig) => {
    const { status } = await rig.call();
    const sends = rig.replicas.reduce(
      (sum, _, at) => sum + requestsAt(rig, at),
      0,
    );
    outcome = { status, sends };
  });
  return outcome;
}

test("an attempt runs until the deadline if the retry budget allows no other", async () => {
  const outcome = await callSlow({
    attempts: 2,
    replicas: 2,
    budget: NO_BUDGET,
  });
  assert.deepEqual(outcome, { status: 200, sends: 1 });
});

test("the last send of a request runs until the deadline", async () => {
  const outcome = await callSlow({
    attempts: 2 * MAX_SENDS,
    replicas: 2 * MAX_SENDS,
    budget: BUDGET,
  });
  assert.deepEqual(outcome, { status: 200, sends: MAX_SENDS });
});

test("the last attempt that the route allows runs until the deadline", async () => {
  const outcome = await callSlow({ attempts: 2, replicas: 4, budget: BUDGET });
  assert.deepEqual(outcome, { status: 200, sends: 2 });
});
