/**
 * Admission at a full pool: which requests are queued and which are refused.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import {
  fill,
  grantedIds,
  messages,
  planRequest,
  replica,
  view,
} from "./planner_rig.ts";

test("refuses a request at once that can't start before its caller times out", () => {
  const planner = new Planner(view());
  fill(planner);
  // 900 of 2,000 tokens are released within 900 / 1,600 of a 4 s lifetime.
  const large = { key: "k", tokens: 900, patienceMs: 1000 };
  planner.enqueue("h", planRequest("e", large), 0);
  const [refusal] = messages(planner, 0);
  assert.ok(refusal?.type === "refusal");
  assert.equal(refusal.reason, "busy");
  // It would be late, and 900 of 2,000 tokens per lifetime arrive to overtake
  // it.
  assert.equal(Math.round(refusal.retryAfterMs ?? 0), Math.round(1450 / 0.55));
  const shortRetry = { ...large, longestRetryMs: 700 };
  planner.enqueue("h", planRequest("f", { ...shortRetry, key: "l" }), 0);
  const [sooner] = messages(planner, 0);
  assert.ok(sooner?.type === "refusal" && sooner.retryAfterMs === 700);
});

test("queues and serves a request that will only miss its deadline", () => {
  const planner = new Planner(view());
  fill(planner);
  planner.enqueue(
    "h",
    planRequest("e", { tokens: 900, slackMs: 100, patienceMs: 6000 }),
    0,
  );
  assert.deepEqual(messages(planner, 0), []);
  assert.deepEqual(messages(planner, 1500), []);
  for (const id of ["a", "b", "c", "d"]) {
    planner.report({ type: "progress", id, stage: "ended" }, 1600);
  }
  assert.deepEqual(grantedIds(messages(planner, 1600)), ["e"]);
});

test("doesn't refuse a retry again and schedules it first", () => {
  const planner = new Planner(view());
  fill(planner);
  const large = { key: "k", tokens: 900, patienceMs: 1000 };
  planner.enqueue("h", planRequest("e", large), 0);
  assert.equal(messages(planner, 0)[0]?.type, "refusal");
  planner.enqueue(
    "h",
    planRequest("new", { tokens: 900, slackMs: 60_000, patienceMs: 60_000 }),
    1400,
  );
  planner.enqueue("h", planRequest("f", large), 1450);
  assert.deepEqual(messages(planner, 1450), []);
  for (const id of ["a", "c"]) {
    planner.report({ type: "progress", id, stage: "ended" }, 1600);
  }
  assert.deepEqual(grantedIds(messages(planner, 1600)), ["f"]);
});

test("refuses requests that can't be served any more soon after a replica is removed", () => {
  let replicas = [
    replica("d1", ReplicaStage.decode),
    replica("d2", ReplicaStage.decode),
  ];
  const planner = new Planner(view({ replicasOf: () => replicas }));
  fill(planner);
  for (const id of ["e", "f", "g"]) {
    planner.enqueue("h", planRequest(id, { slackMs: 2500 }), 1);
  }
  assert.deepEqual(messages(planner, 1), []);
  replicas = replicas.slice(1);
  const refused = messages(planner, 260).map((message) =>
    message.type === "refusal" ? message.id : message.type
  );
  assert.deepEqual(refused, ["f", "g"]);
});
