/**
 * Error responses of plain replicas through the gateway. Guards against retries
 * that only add load, and replicas that are paused for a route's errors.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";
import { TEST_TUNING } from "../test_tuning.ts";
import { BUDGET, healthy, requestsAt, statuses } from "./notice_rig.ts";

const CALLS = 40;

const fails: RawAnswer = (request, socket) => {
  const text = completeResponse(request, "by the application");
  socket.write(text.replace("200 OK", "500 Failed"));
};

function switchTo({ context }: Rig, errorOrigins: boolean): void {
  const scheduling = { ...NO_SCHEDULING, replicaRates: true, errorOrigins };
  context.tuning = { ...TEST_TUNING, scheduling };
}

const sendsOf = (rig: Rig) =>
  rig.replicas.map((_, index) => requestsAt(rig, index))
    .reduce((sum, count) => sum + count, 0);

test("errors of a route that fails at all replicas are passed on at once", async () => {
  const replicas = [{ answer: fails }, { answer: fails }, { answer: fails }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    switchTo(rig, true);
    const received = await statuses(rig, CALLS);
    assert.deepEqual(new Set(received), new Set([500]));
    assert.ok(sendsOf(rig) < CALLS * 1.3, String(sendsOf(rig)));
    const spared = rig.context.metrics.counterValue("error_retries_spared");
    assert.equal(spared, 2 * CALLS - sendsOf(rig));
    assert.ok(rig.events.some(({ name }) => name === "errorRetriesStopped"));
    const { body } = await rig.call();
    assert.equal(body, "by the application");
  });
});

test("with the setting off, each error is retried", async () => {
  const replicas = [{ answer: fails }, { answer: fails }, { answer: fails }];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    switchTo(rig, false);
    await statuses(rig, CALLS);
    assert.equal(sendsOf(rig), 2 * CALLS);
  });
});

test("errors of a replica that fails alone are retried", async () => {
  const replicas = [
    { answer: fails },
    { answer: healthy },
    { answer: healthy },
  ];
  await withRig({ budget: BUDGET, replicas }, async (rig) => {
    switchTo(rig, true);
    assert.deepEqual(new Set(await statuses(rig, CALLS)), new Set([200]));
    const { metrics } = rig.context;
    assert.equal(metrics.counterValue("error_retries_spared"), 0);
  });
});
