/**
 * Guards against a caller who is told to wait for its place although the burst
 * for which it was booked is over.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { isLightlyUsed } from "../../../src/gateway/planning/pool_use.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";
import { fill, messages, planRequest, replica, view } from "./planner_rig.ts";

const SCHEDULING = { ...NO_SCHEDULING, bookedReturns: true };
const RETURN = { patienceMs: 13_000, longestRetryMs: 4000 };

test("use counts decode memory or the slots of plain replicas", () => {
  const used = (tokens: number) => ({ reservedTokensAt: () => tokens });
  const engines = [
    replica("d1", ReplicaStage.decode),
    replica("p1", ReplicaStage.prefill),
  ];
  const pool = { replicas: engines, memory: 1000 };
  assert.equal(isLightlyUsed(used(499), pool), true);
  assert.equal(isLightlyUsed(used(500), pool), false);
  const plainPool = {
    replicas: [replicaEntry("a", { slots: 6 })],
    memory: 0,
  };
  assert.equal(isLightlyUsed(used(2), plainPool), true);
  assert.equal(isLightlyUsed(used(3), plainPool), false);
});

test("a caller who returns early is told the rest of its time while the pool is full, and served when it is not", () => {
  const planner = new Planner(view({ scheduling: SCHEDULING }));
  fill(planner);
  const answersAt = (now: number) =>
    new Map(
      messages(planner, now).flatMap((answer) =>
        answer.type === "ping" ? [] : [[answer.id, answer.type] as const]
      ),
    );
  const ask = (key: string, now: number) =>
    planner.enqueue(
      "h",
      planRequest(`${key} ${now}`, {
        ...RETURN,
        key,
        tokens: 900,
        deadlineMs: 14_000 - now,
      }),
      now,
    );
  const keys = Array.from({ length: 30 }, (_, index) => `k${index}`);
  for (const key of keys) ask(key, 0);
  const first = answersAt(0);
  const booked = keys.find((key) => first.get(`${key} 0`) === "refusal");
  assert.ok(booked);
  ask(booked, 100);
  assert.equal(answersAt(100).get(`${booked} 100`), "refusal");
  for (const id of ["a", "b", "c", "d"]) {
    planner.report({ type: "progress", id, stage: "answered" }, 150);
  }
  planner.noteHostLost("h", 150);
  ask(booked, 200);
  assert.equal(answersAt(200).get(`${booked} 200`), "grant");
});
