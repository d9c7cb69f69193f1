/** Route priorities at the planner of a model service. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { schedulingOrder } from "../../../src/gateway/planning/order.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import {
  fill,
  grantedIds,
  messages,
  planRequest,
  view,
} from "./planner_rig.ts";

test("orders more urgent requests first, even when they are late", () => {
  const request = (dueAt: number, priority: number, mayHaveRun = false) => ({
    dueAt,
    priority,
    mayHaveRun,
    isRetry: false,
    startTag: 0,
  });
  const order = schedulingOrder(
    [request(200, 3), request(5, 1), request(300, 1), request(900, 3, true)],
    0,
    () => 100,
  );
  assert.deepEqual(order.map(({ dueAt }) => dueAt), [900, 300, 5, 200]);
});

test("gives no memory to a less urgent request while a more urgent one waits for it", () => {
  const planner = new Planner(view());
  fill(planner);
  planner.enqueue("h", planRequest("urgent", { priority: 1, tokens: 800 }), 1);
  planner.enqueue("h", planRequest("small", { priority: 2, tokens: 100 }), 1);
  assert.deepEqual(messages(planner, 1), []);
  planner.report({ type: "progress", id: "a", stage: "ended" }, 2);
  assert.deepEqual(messages(planner, 2), []);
  for (const id of ["b", "c"]) {
    planner.report({ type: "progress", id, stage: "ended" }, 3);
  }
  assert.deepEqual(grantedIds(messages(planner, 3)), ["urgent", "small"]);
});

test("doesn't refuse a more urgent request because of less urgent ones in the queue", () => {
  const planner = new Planner(view());
  fill(planner);
  const longTimeout = {
    patienceMs: 6000,
    slackMs: 6000,
    priority: 2,
    tokens: 900,
  };
  for (const id of ["e", "f"]) {
    planner.enqueue("h", planRequest(id, longTimeout), 1);
  }
  const shortTimeout = { key: "k", patienceMs: 1000 };
  planner.enqueue(
    "h",
    planRequest("urgent", { ...shortTimeout, priority: 1 }),
    1,
  );
  assert.deepEqual(messages(planner, 2), []);
  planner.enqueue(
    "h",
    planRequest("last", { ...shortTimeout, priority: 2 }),
    2,
  );
  const refused = messages(planner, 3);
  assert.deepEqual(refused.map((message) => message.type), ["refusal"]);
});
