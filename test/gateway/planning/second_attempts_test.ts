/**
 * Second attempts of safe calls. Guards against late callers while another
 * replica is idle, and against attempts that take room from other calls.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CallTimes } from "../../../src/gateway/planning/call_times.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";
import { messages, planRequest, view } from "./planner_rig.ts";
import {
  type PlainLoad,
  shareServed,
  type SimulatedCall,
} from "./plain_load.ts";
import { serveLoad } from "./plain_service_rig.ts";

const OBJECTIVE_MS = 200;
const SEEDS = [1, 2, 3, 4, 5, 6];

const LOAD: PlainLoad = {
  replicas: 6,
  seconds: 15,
  perSecond: 150,
  scheduling: { replicaRates: true },
  routes: [
    { name: "status", repeatable: true },
    { name: "command", repeatable: false },
  ],
  budget: { ratio: 0.2, extra: 20 },
  // One call in a hundred takes five times as long, wherever it runs.
  workMs: (random) => (30 + 60 * random()) * (random() < 0.01 ? 5 : 1),
};

/** One replica after the other is eight times slower, for two seconds. */
function stalls(replica: number, now: number): number {
  return replica === Math.floor(now / 3000) % 6 && now % 3000 < 2000 ? 8 : 1;
}

type Shares = {
  readonly safe: number;
  readonly once: number;
  readonly sends: number;
};

/** Shares of the calls served within the objective, over all seeds. */
function play(load: PlainLoad, secondAttempts: boolean): Shares {
  const scheduling = { ...load.scheduling, secondAttempts };
  const calls = SEEDS.flatMap((seed): readonly SimulatedCall[] =>
    serveLoad({ ...load, scheduling }, seed).calls
  ).filter(({ at }) => at > 2000);
  const safe = calls.filter(({ repeatable }) => repeatable);
  const once = calls.filter(({ repeatable }) => !repeatable);
  assert.ok(once.every(({ sends }) => sends <= 1));
  return {
    safe: shareServed(safe, OBJECTIVE_MS),
    once: shareServed(once, OBJECTIVE_MS),
    sends: safe.reduce((sum, call) => sum + call.sends, 0) / safe.length,
  };
}

/** What two runs with few late calls each may differ by. */
const CHANCE = 0.003;

const UNEVEN: Readonly<Record<string, Partial<PlainLoad>>> = {
  "replicas that stall for seconds": { slowness: stalls },
  "few calls and replicas that stall": { slowness: stalls, perSecond: 60 },
  "a replica that is four times slower": {
    slowness: (replica) => replica === 0 ? 4 : 1,
  },
  "a replica that responds to nothing": {
    slowness: (replica, now) => replica === 2 && now > 5000 ? 1000 : 1,
  },
};

for (const [name, change] of Object.entries(UNEVEN)) {
  test(`${name}: safe calls are served sooner, the others no later`, () => {
    const load = { ...LOAD, ...change };
    const before = play(load, false);
    const after = play(load, true);
    assert.ok(after.safe > before.safe, JSON.stringify([before, after]));
    assert.ok(
      after.once > before.once - CHANCE,
      JSON.stringify([before, after]),
    );
    assert.ok(after.sends < 1.06, String(after.sends));
  });
}

test("calls that take long anywhere: few second attempts, nobody is served later", () => {
  const before = play(LOAD, false);
  const after = play(LOAD, true);
  assert.ok(after.sends < 1.06);
  assert.ok(after.safe > before.safe - CHANCE);
  assert.ok(after.once > before.once - CHANCE);
});

test("a service near its limit gets no second attempts", () => {
  const load = { ...LOAD, seconds: 8, perSecond: 500, slowness: stalls };
  const before = play(load, false);
  const after = play(load, true);
  assert.ok(after.sends < 1.005, String(after.sends));
  assert.ok(after.safe > before.safe - CHANCE);
  assert.ok(after.once > before.once - CHANCE);
});

test("second attempts keep to half of the retry budget", () => {
  const budget = { ratio: 0.02, extra: 0 };
  const { sends } = play({ ...LOAD, slowness: stalls, budget }, true);
  // The budget counts the requests of both routes.
  assert.ok(sends < 1 + 2 * 0.02 / 2 + 0.001, String(sends));
});

test("the time of a second attempt is a quantile of recent calls", () => {
  const times = new CallTimes();
  const route = { service: "s", route: "r" };
  for (let runMs = 1; runMs < 40; runMs++) times.note(route, runMs, 0);
  assert.equal(times.lateMs(route, 0), undefined);
  for (let runMs = 40; runMs <= 100; runMs++) times.note(route, runMs, 0);
  assert.equal(times.lateMs(route, 1000), 95);
  for (let call = 0; call < 200; call++) times.note(route, 7, 2000);
  assert.equal(times.lateMs(route, 2000), 7);
  assert.equal(times.lateMs(route, 13_000), undefined);
  assert.equal(times.lateMs({ ...route, route: "other" }, 0), undefined);
});

/** Some time after the training of a planner. */
const NOW = 1000;

/** A planner that knows the durations of calls. */
function trainedPlanner(limited: boolean): Planner {
  const replicas = ["a", "b"].map((id) => replicaEntry(id, { slots: 4 }));
  const planner = new Planner(view({
    replicasOf: () => replicas,
    memoryOf: () => 0,
    limitOf: () => limited ? 1000 : undefined,
    scheduling: { ...NO_SCHEDULING, replicaRates: true, secondAttempts: true },
  }));
  for (let index = 0; index < 60; index++) {
    const id = `trained${index}`;
    planner.enqueue("h", plainCall(id), index);
    messages(planner, index);
    const stage = "answered" as const;
    planner.report({ type: "progress", id, stage, runMs: 50 }, index);
  }
  return planner;
}

function plainCall(id: string, isSecond = false) {
  return planRequest(id, {
    tokens: 1,
    promptTokens: 0,
    outputTokens: 0,
    route: "r",
    repeatable: true,
    ...(isSecond ? { begun: true, second: true as const } : {}),
  });
}

function answerTo(planner: Planner, id: string, isSecond = false) {
  planner.enqueue("h", plainCall(id, isSecond), NOW);
  return messages(planner, NOW)[0];
}

test("a grant names the time while the service has room", () => {
  const planner = trainedPlanner(false);
  for (let index = 0; index < 4; index++) {
    const answer = answerTo(planner, String(index));
    assert.ok(answer?.type === "grant");
    assert.equal(answer.secondAfterMs, index < 3 ? 50 : undefined);
  }
});

test("a busy service refuses second attempts that it has announced", () => {
  const planner = trainedPlanner(false);
  assert.equal(answerTo(planner, "first", true)?.type, "grant");
  for (let index = 0; index < 3; index++) answerTo(planner, String(index));
  assert.equal(answerTo(planner, "second", true)?.type, "refusal");
});

test("a service whose replicas limit their requests gets none", () => {
  const planner = trainedPlanner(true);
  const answer = answerTo(planner, "first");
  assert.ok(answer?.type === "grant");
  assert.equal(answer.secondAfterMs, undefined);
  assert.equal(answerTo(planner, "second", true)?.type, "refusal");
});

test("a replica that was overtaken twice in a row is spared until it answers", () => {
  const planner = trainedPlanner(false);
  const replicas: string[] = [];
  for (let index = 0; index < 2; index++) {
    const id = `slow${index}`;
    planner.enqueue("h", { ...plainCall(id), excluded: ["b"] }, NOW - 60);
    messages(planner, NOW - 60);
    const stage = "ended" as const;
    planner.report({ type: "progress", id, stage, runMs: 60 }, NOW);
  }
  for (let index = 0; index < 4; index++) {
    const answer = answerTo(planner, String(index));
    if (answer?.type === "grant") replicas.push(answer.decode);
  }
  assert.deepEqual(replicas, ["b", "b", "b", "b"]);
});
