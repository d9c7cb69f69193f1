/**
 * Decisions at the arrival of a request, and what becomes of them when something
 * fails. Guards against admitted requests that are forgotten, and against
 * refusals without their reason.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import type { PlannerMessage } from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import type { PlannerView } from "../../../src/gateway/planning/view.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import {
  grantedIds,
  handover,
  MEMORY,
  messages,
  planRequest,
  replica,
  view,
} from "./planner_rig.ts";

const SCHEDULING = { ...NO_SCHEDULING, arrivalDecisions: true };
/** Output of a run that takes 2 s once the first runs have ended. */
const RUN = { promptTokens: 10, outputTokens: 80 };
const RUN_MS = 2000;
const OBJECTIVE_MS = 900;
const PATIENCE_MS = 3000;

/** Two decode replicas of 1,000 tokens, with counted metrics and events. */
function createPlanner(overrides: Partial<PlannerView> = {}) {
  const counts = new Map<string, number>();
  const noted: string[] = [];
  const planner = new Planner(view({
    scheduling: SCHEDULING,
    metrics: {
      count: (name) => counts.set(name, (counts.get(name) ?? 0) + 1),
    },
    events: { note: (name) => noted.push(name) },
    ...overrides,
  }));
  return { planner, counts, noted };
}

/** Lets the planner learn that runs take 2 s. */
function learnRuns(planner: Planner): void {
  for (let index = 0; index < 100; index++) {
    planner.enqueue("h", planRequest("run", { tokens: 10, ...RUN }), 0);
    messages(planner, 0);
    for (
      const [stage, at] of [["started", 100], [
        "answered",
        100 + RUN_MS,
      ]] as const
    ) {
      planner.report({ type: "progress", id: "run", stage }, at);
    }
  }
}

/** Fills both replicas with runs whose first event came at `now`. */
function startRuns(planner: Planner, now: number): void {
  for (const id of ["a", "b", "c", "d"]) {
    planner.enqueue("h", planRequest(id, { tokens: 500, ...RUN }), now);
  }
  assert.equal(grantedIds(messages(planner, now)).length, 4);
  for (const id of ["a", "b", "c", "d"]) {
    planner.report({ type: "progress", id, stage: "started" }, now);
  }
}

function ask(
  planner: Planner,
  id: string,
  now: number,
  slackMs = OBJECTIVE_MS,
) {
  const timing = { slackMs, patienceMs: PATIENCE_MS - OBJECTIVE_MS + slackMs };
  const request = { tokens: 500, objectiveMs: OBJECTIVE_MS, ...RUN, ...timing };
  planner.enqueue("h", planRequest(id, request), now);
}

function refusalOf(all: readonly PlannerMessage[], id: string) {
  const found = all.find((message) =>
    message.type === "refusal" && message.id === id
  );
  return found?.type === "refusal" ? found : undefined;
}

test("refuses at once what can't be on time in a busy pool, with the forecast", () => {
  const { planner, counts } = createPlanner();
  learnRuns(planner);
  startRuns(planner, 10_000);
  ask(planner, "e", 10_100);
  const refusal = refusalOf(messages(planner, 10_100), "e");
  assert.equal(refusal?.reason, "busy");
  const forecastMs = refusal?.basis.forecastMs ?? 0;
  assert.ok(Math.abs(forecastMs - 1900) < 400, `${forecastMs} ms`);
  assert.ok((refusal?.retryAfterMs ?? 0) > 1000);
  assert.equal(counts.get("refused_at_arrival"), 1);
});

test("admits what will be on time, and serves it when the memory is free", () => {
  const { planner, counts } = createPlanner();
  learnRuns(planner);
  startRuns(planner, 10_000);
  ask(planner, "e", 11_700);
  assert.deepEqual(messages(planner, 11_700), []);
  assert.equal(counts.get("admitted_on_time"), 1);
  planner.report({ type: "progress", id: "a", stage: "answered" }, 12_000);
  assert.deepEqual(grantedIds(messages(planner, 12_000)), ["e"]);
});

test("decides about all requests in the pass in which they arrive", () => {
  const { planner } = createPlanner();
  learnRuns(planner);
  startRuns(planner, 10_000);
  for (let index = 0; index < 40; index++) ask(planner, `e${index}`, 11_700);
  const refused = messages(planner, 11_700);
  assert.equal(refused.length, 36);
  assert.ok(refused.every((message) => message.type === "refusal"));
});

test("replicas lost: refuses admitted requests that have no place any more, and says so", () => {
  let decodes = ["d1", "d2"];
  const { planner, counts, noted } = createPlanner({
    replicasOf: () => [
      ...decodes.map((name) => replica(name, ReplicaStage.decode)),
      replica("p1", ReplicaStage.prefill),
    ],
  });
  learnRuns(planner);
  startRuns(planner, 10_000);
  for (const id of ["e", "f", "g", "i"]) ask(planner, id, 11_700);
  assert.deepEqual(messages(planner, 11_700), []);
  decodes = ["d1"];
  const refused = messages(planner, 11_720);
  assert.ok(refused.length >= 1 && refused.length <= 2);
  assert.equal(counts.get("admissions_revoked"), refused.length);
  assert.deepEqual(noted, refused.map(() => "admissionRevoked"));
});

test("planner lost: its successor serves the waiting requests that have a place", () => {
  const { planner } = createPlanner();
  ["a", "b", "c", "d"].forEach((id, index) => {
    const decode = index % 2 === 0 ? "d1" : "d2";
    const running = { decode, tokens: 500, events: 9, runMs: 1500, ...RUN };
    planner.restore("h", handover(id, running), 0);
  });
  ask(planner, "e", 0, 300);
  assert.deepEqual(messages(planner, 0), []);
  planner.report({ type: "progress", id: "a", stage: "answered" }, 500);
  assert.deepEqual(grantedIds(messages(planner, 500)), ["e"]);
});

test("progress reports lost: every request is answered before its caller times out", () => {
  const { planner } = createPlanner();
  learnRuns(planner);
  startRuns(planner, 10_000);
  const open = new Set<string>();
  for (let now = 10_100; now < 30_000; now += 100) {
    const id = `e${now}`;
    ask(planner, id, now);
    open.add(id);
    for (const message of messages(planner, now)) {
      if (message.type !== "ping") open.delete(message.id);
    }
    for (const waiting of open) {
      const askedAt = Number(waiting.slice(1));
      assert.ok(now - askedAt < PATIENCE_MS, `${waiting} at ${now}`);
    }
  }
});

test("a replica that refuses: the request goes to another replica", () => {
  const { planner } = createPlanner();
  learnRuns(planner);
  ask(planner, "e", 10_000);
  const [first] = messages(planner, 10_000);
  assert.ok(first?.type === "grant");
  planner.report({ type: "progress", id: "e", stage: "refused" }, 10_010);
  ask(planner, "e2", 10_010, OBJECTIVE_MS - 10);
  const [second] = messages(planner, 10_010);
  assert.ok(second?.type === "grant" && second.decode !== first.decode);
});

test("never refuses a request early that may have run", () => {
  const { planner } = createPlanner();
  learnRuns(planner);
  startRuns(planner, 10_000);
  const resumed = { begun: true, tokens: 500, slackMs: -900, patienceMs: 300 };
  planner.enqueue("h", planRequest("e", { ...RUN, ...resumed }), 10_100);
  assert.deepEqual(messages(planner, 10_100), []);
  assert.deepEqual(messages(planner, 10_300), []);
});

test("uses at least half of the memory that the best selection would, for requests up to half a replica", () => {
  const sizes = fc.array(fc.integer({ min: 50, max: MEMORY / 2 }), {
    minLength: 1,
    maxLength: 8,
  });
  fc.assert(fc.property(sizes, (all) => {
    const { planner } = createPlanner();
    all.forEach((tokens, index) =>
      planner.enqueue("h", planRequest(String(index), { tokens, ...RUN }), 0)
    );
    const granted = grantedIds(messages(planner, 0))
      .reduce((sum, id) => sum + (all[Number(id)] ?? 0), 0);
    assert.ok(granted >= bestSelection(all, [0, 0]) / 2);
  }));
});

/** The most memory of two replicas that a selection of requests can use. */
function bestSelection(
  [tokens, ...others]: readonly number[],
  [first, second]: readonly [number, number],
): number {
  if (tokens === undefined) return first + second;
  const options = [bestSelection(others, [first, second])];
  if (first + tokens <= MEMORY) {
    options.push(bestSelection(others, [first + tokens, second]));
  }
  if (second + tokens <= MEMORY) {
    options.push(bestSelection(others, [first, second + tokens]));
  }
  return Math.max(...options);
}
