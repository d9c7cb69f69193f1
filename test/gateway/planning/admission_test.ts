/** Who waits at the planner of a full pool, and who is refused at once. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { ask, fill, grants, messages, replica, view } from "./planner_rig.ts";

test("what can't begin before its caller gives up is refused at once", () => {
  const planner = new Planner(view());
  fill(planner);
  // 900 of 2,000 tokens come back within 900 / 1,600 of a life of 4 s.
  const big = { key: "k", tokens: 900, patienceMs: 1000 };
  planner.enqueue("h", ask("e", big), 0);
  const [refusal] = messages(planner, 0);
  assert.ok(refusal?.type === "refusal");
  assert.equal(refusal.reason, "busy");
  // It would be late, and 900 of 2,000 tokens a life arrive to overtake it.
  assert.equal(Math.round(refusal.retryAfterMs ?? 0), Math.round(1450 / 0.55));
  const hurried = { ...big, longestRetryMs: 700 };
  planner.enqueue("h", ask("f", { ...hurried, key: "l" }), 0);
  const [sooner] = messages(planner, 0);
  assert.ok(sooner?.type === "refusal" && sooner.retryAfterMs === 700);
});

test("what will only be late waits, and is served", () => {
  const planner = new Planner(view());
  fill(planner);
  planner.enqueue(
    "h",
    ask("e", { tokens: 900, slackMs: 100, patienceMs: 6000 }),
    0,
  );
  assert.deepEqual(messages(planner, 0), []);
  assert.deepEqual(messages(planner, 1500), []);
  for (const id of ["a", "b", "c", "d"]) {
    planner.report({ type: "progress", id, stage: "ended" }, 1600);
  }
  assert.deepEqual(grants(messages(planner, 1600)), ["e"]);
});

test("a request that comes back is not refused again, and goes first", () => {
  const planner = new Planner(view());
  fill(planner);
  const big = { key: "k", tokens: 900, patienceMs: 1000 };
  planner.enqueue("h", ask("e", big), 0);
  assert.equal(messages(planner, 0)[0]?.type, "refusal");
  planner.enqueue(
    "h",
    ask("new", { tokens: 900, slackMs: 60_000, patienceMs: 60_000 }),
    1400,
  );
  planner.enqueue("h", ask("f", big), 1450);
  assert.deepEqual(messages(planner, 1450), []);
  for (const id of ["a", "c"]) {
    planner.report({ type: "progress", id, stage: "ended" }, 1600);
  }
  assert.deepEqual(grants(messages(planner, 1600)), ["f"]);
});

test("replicas that go make what can't be served any more known at once", () => {
  let replicas = [
    replica("d1", ReplicaStage.decode),
    replica("d2", ReplicaStage.decode),
  ];
  const planner = new Planner(view({ replicasOf: () => replicas }));
  fill(planner);
  for (const id of ["e", "f", "g"]) {
    planner.enqueue("h", ask(id, { slackMs: 2500 }), 1);
  }
  assert.deepEqual(messages(planner, 1), []);
  replicas = replicas.slice(1);
  const refused = messages(planner, 260).map((one) =>
    one.type === "refusal" ? one.id : one.type
  );
  assert.deepEqual(refused, ["f", "g"]);
});
