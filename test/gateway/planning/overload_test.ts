/**
 * Simulates the callers of an overloaded pool in virtual time. Guards against
 * late refusals, repeated refusals and requests that are refused without need.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { messages, planRequest, replica, view } from "./planner_rig.ts";

const STEP_MS = 10;
const LIFETIME_MS = 2000;
const TIMEOUT_MS = 3000;
const SLACK_MS = 900;
const TOKENS = 250;
const DECODE_COUNT = 10;
/** Requests that the pool can run at once: four per replica of 1,000 tokens. */
const MAX_ACTIVE = DECODE_COUNT * 4;
/** Requests per second that the pool can start. */
const CAPACITY = MAX_ACTIVE / LIFETIME_MS * 1000;

/** A caller and the outcome of its attempts. */
type SimulatedCaller = {
  readonly key: string;
  readonly firstAt: number;
  sentAt: number;
  attempts: number;
  /** When it was granted an assignment. */
  servedAt?: number;
  /** How long each refused attempt had waited. */
  readonly refusalWaitsMs: number[];
};

type Scenario = {
  /** Requests per second at a time. */
  rate(now: number): number;
  replicas(now: number): readonly ReplicaEntry[];
  readonly untilMs: number;
};

function decodes(count: number): ReplicaEntry[] {
  return Array.from(
    { length: count },
    (_, index) => replica(`d${index}`, ReplicaStage.decode),
  );
}

/** Simulates callers that retry once, after the delay of the refusal. */
function simulate({ rate, replicas, untilMs }: Scenario): SimulatedCaller[] {
  const clock = { now: 0 };
  const planner = new Planner(view({ replicasOf: () => replicas(clock.now) }));
  const callersById = new Map<string, SimulatedCaller>();
  const active: { id: string; endsAt: number; decode: string }[] = [];
  const retries: { caller: SimulatedCaller; at: number }[] = [];
  let due = 0;
  const send = (caller: SimulatedCaller) => {
    caller.attempts += 1;
    caller.sentAt = clock.now;
    const id = `${caller.key}/${caller.attempts}`;
    callersById.set(id, caller);
    const slackMs = caller.firstAt + SLACK_MS - clock.now;
    const timing = { slackMs, patienceMs: TIMEOUT_MS };
    const { key } = caller;
    planner.enqueue(
      "h",
      planRequest(id, { key, tokens: TOKENS, ...timing }),
      clock.now,
    );
  };
  const callers: SimulatedCaller[] = [];
  for (; clock.now < untilMs; clock.now += STEP_MS) {
    const { now } = clock;
    for (due += rate(now) * STEP_MS / 1000; due >= 1; due -= 1) {
      const key = `k${callers.length}`;
      const caller = {
        key,
        firstAt: now,
        sentAt: now,
        attempts: 0,
        refusalWaitsMs: [],
      };
      callers.push(caller);
      send(caller);
    }
    for (const retry of retries.filter((entry) => entry.at <= now)) {
      retries.splice(retries.indexOf(retry), 1);
      send(retry.caller);
    }
    for (const assignment of active.filter((entry) => entry.endsAt <= now)) {
      active.splice(active.indexOf(assignment), 1);
      const stage = "answered" as const;
      planner.report({ type: "progress", id: assignment.id, stage }, now);
    }
    for (const message of messages(planner, now)) {
      if (message.type === "ping") continue;
      const caller = callersById.get(message.id);
      assert.ok(caller);
      if (message.type === "grant") {
        caller.servedAt = now;
        active.push({
          id: message.id,
          endsAt: now + LIFETIME_MS,
          decode: message.decode,
        });
        continue;
      }
      caller.refusalWaitsMs.push(now - caller.sentAt);
      if (caller.attempts > 1) continue;
      const at = now + (message.retryAfterMs ?? 1000);
      retries.push({ caller, at });
    }
  }
  return callers;
}

function summarize(callers: readonly SimulatedCaller[]) {
  const served = callers.filter((caller) => caller.servedAt !== undefined);
  return {
    firstAttempt: served.filter((caller) => caller.attempts === 1).length /
      callers.length,
    onTime:
      served.filter((caller) =>
        (caller.servedAt ?? 0) <= caller.firstAt + SLACK_MS
      ).length / callers.length,
    refusedTwice:
      callers.filter((caller) => caller.refusalWaitsMs.length > 1).length,
    maxRefusalWaitMs: Math.max(
      0,
      ...callers.flatMap((caller) => caller.refusalWaitsMs),
    ),
    served: served.length / callers.length,
  };
}

test("refuses no request twice, and none late, in a burst of twice the capacity", () => {
  const callers = simulate({
    rate: (now) => now < 2000 || now > 6000 ? CAPACITY / 2 : CAPACITY * 2,
    replicas: () => decodes(DECODE_COUNT),
    untilMs: 14_000,
  }).filter((caller) => caller.firstAt < 10_000);
  const { firstAttempt, onTime, refusedTwice, maxRefusalWaitMs, served } =
    summarize(callers);
  assert.equal(served, 1);
  assert.equal(refusedTwice, 0);
  // 80 of the 160 requests of the burst fit into the pool.
  assert.ok(firstAttempt >= 0.55, `first attempt ${firstAttempt}`);
  assert.ok(onTime >= 0.55, `on time ${onTime}`);
  assert.ok(maxRefusalWaitMs <= 1000, `refused after ${maxRefusalWaitMs} ms`);
});

test("refuses early while half of the replicas are missing for five seconds", () => {
  const callers = simulate({
    rate: () => CAPACITY * 0.7,
    replicas: (now) =>
      decodes(now < 3000 || now > 8000 ? DECODE_COUNT : DECODE_COUNT / 2),
    untilMs: 18_000,
  }).filter((caller) => caller.firstAt < 14_000);
  const { firstAttempt, refusedTwice, maxRefusalWaitMs, served } = summarize(
    callers,
  );
  assert.ok(served >= 0.95, `served ${served}`);
  assert.equal(refusedTwice, 0);
  assert.ok(firstAttempt >= 0.85, `first attempt ${firstAttempt}`);
  assert.ok(maxRefusalWaitMs <= 1000, `refused after ${maxRefusalWaitMs} ms`);
});

test("serves all requests on time at the first attempt below the capacity", () => {
  const callers = simulate({
    rate: () => CAPACITY * 0.8,
    replicas: () => decodes(DECODE_COUNT),
    untilMs: 10_000,
  }).filter((caller) => caller.firstAt < 7000);
  const { firstAttempt, onTime } = summarize(callers);
  assert.deepEqual([firstAttempt, onTime], [1, 1]);
});
