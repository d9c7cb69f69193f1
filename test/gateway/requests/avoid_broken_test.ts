/**
 * Calls that run once through the gateway, with a replica that resets
 * connections. Guards against calls that are sent there again at once.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import type { RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";
import { TEST_TUNING } from "../test_tuning.ts";
import { BUDGET, healthy, requestsAt } from "./notice_rig.ts";

const resets: RawAnswer = (_, socket) => void socket.resetAndDestroy();
const ROUTE = { kind: "unsafe" } as const;

/** Sends two calls that run once; returns how many the bad replica got. */
async function callsAtResetting(avoidBroken: boolean): Promise<number> {
  const replicas = [{ answer: resets }, { answer: healthy }];
  let time = 100_000;
  const now = () => time;
  let calls = 0;
  await withRig(
    { route: ROUTE, budget: BUDGET, replicas, now },
    async (rig) => {
      const scheduling = { ...NO_SCHEDULING, replicaRates: true, avoidBroken };
      rig.context.tuning = { ...TEST_TUNING, scheduling };
      const first = await rig.call({ method: "POST" });
      assert.equal(first.status, 502);
      // This host, which is the planner too, no longer pauses the replica.
      time += 1000;
      const second = await rig.call({ method: "POST" });
      assert.equal(second.status, avoidBroken ? 200 : 502);
      calls = requestsAt(rig, 0);
    },
  );
  return calls;
}

test("a replica that reset a call gets no further call that runs once", async () => {
  assert.equal(await callsAtResetting(true), 1);
});

test("with the setting off, it does", async () => {
  assert.equal(await callsAtResetting(false), 2);
});
