/**
 * Calls to a plain service near and above its limit, and with a slow replica.
 * Guards against queues in which all calls are late, and calls that are run
 * although their callers have given up.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import { admitsCall } from "../../../src/gateway/planning/plain_admission.ts";
import { PlainForecast } from "../../../src/gateway/planning/plain_forecast.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";
import { messages, planRequest, view } from "./planner_rig.ts";

const OBJECTIVE_MS = 146;
const DEADLINE_MS = 618;
const CALL_MS = 21;
const SLOTS = 6;
const REPLICAS: readonly ReplicaEntry[] = ["a", "b", "c"].map((id) =>
  replicaEntry(id, { slots: SLOTS })
);
/** Calls per millisecond that all replicas run together. */
const CAPACITY = REPLICAS.length * SLOTS / CALL_MS;

type Call = {
  readonly key: string;
  readonly firstAt: number;
  sentAt: number;
  attempts: number;
  endedAt?: number;
};

type PlainLoad = {
  /** Calls per millisecond at a time. */
  rate(now: number): number;
  callMs(incarnation: string, now: number): number;
  readonly bookedReturns: boolean;
};

/** Serves 4 s of calls; a refused caller comes back once. */
function serve({ rate, callMs, bookedReturns }: PlainLoad): Call[] {
  const planner = new Planner(view({
    replicasOf: () => REPLICAS,
    memoryOf: () => 0,
    scheduling: { ...NO_SCHEDULING, bookedReturns },
  }));
  const calls: Call[] = [];
  const byId = new Map<string, Call>();
  const runs: { id: string; endsAt: number }[] = [];
  const retries: { call: Call; at: number }[] = [];
  const slotsFreeAt = new Map(
    REPLICAS.map(({ incarnation }) => [incarnation, Array(SLOTS).fill(0)]),
  );
  const send = (call: Call, now: number) => {
    call.sentAt = now;
    call.attempts += 1;
    const id = `${call.key}/${call.attempts}`;
    byId.set(id, call);
    const deadlineMs = call.firstAt + DEADLINE_MS - now;
    planner.enqueue(
      "h",
      planRequest(id, {
        key: call.key,
        tokens: 1,
        promptTokens: 0,
        slackMs: OBJECTIVE_MS,
        objectiveMs: OBJECTIVE_MS,
        patienceMs: 80,
        deadlineMs,
        longestRetryMs: deadlineMs / 3,
      }),
      now,
    );
  };
  let due = 0;
  for (let now = 0; now < 5000; now += 1) {
    for (due += now < 4000 ? rate(now) : 0; due >= 1; due -= 1) {
      const call = {
        key: `k${calls.length}`,
        firstAt: now,
        sentAt: now,
        attempts: 0,
      };
      calls.push(call);
      send(call, now);
    }
    for (const retry of retries.filter(({ at }) => at <= now)) {
      retries.splice(retries.indexOf(retry), 1);
      send(retry.call, now);
    }
    for (const run of runs.filter(({ endsAt }) => endsAt <= now)) {
      runs.splice(runs.indexOf(run), 1);
      planner.report({ type: "progress", id: run.id, stage: "answered" }, now);
    }
    for (const message of messages(planner, now)) {
      const call = message.type === "ping" ? undefined : byId.get(message.id);
      if (message.type === "ping" || !call) continue;
      if (message.type === "refusal") {
        const at = now + (message.retryAfterMs ?? DEADLINE_MS);
        const isHonoured = at - now <= (call.firstAt + DEADLINE_MS - now) / 3;
        if (call.attempts === 1 && isHonoured) retries.push({ call, at });
        continue;
      }
      const slots = slotsFreeAt.get(message.decode) ?? [];
      const slot = slots.indexOf(Math.min(...slots));
      const endsAt = Math.max(now, slots[slot]) + callMs(message.decode, now);
      slots[slot] = endsAt;
      call.endedAt = endsAt;
      runs.push({ id: message.id, endsAt });
    }
  }
  return calls;
}

/** Shares of the calls that ended in time, and that ended too late for use. */
function summarize(calls: readonly Call[]) {
  const share = (matches: (call: Call, endedAt: number) => boolean) =>
    calls.filter((call) =>
      call.endedAt !== undefined && matches(call, call.endedAt)
    ).length / calls.length;
  return {
    inTime: share(({ firstAt }, endedAt) => endedAt - firstAt <= OBJECTIVE_MS),
    served: share(({ firstAt }, endedAt) => endedAt - firstAt <= DEADLINE_MS),
    wasted: share(({ firstAt }, endedAt) => endedAt - firstAt > DEADLINE_MS),
  };
}

test("keeps most calls in time while 1.5 times the room is asked for two seconds", () => {
  const load = {
    rate: (now: number) => CAPACITY * (now >= 1000 && now < 3000 ? 1.5 : 0.5),
    callMs: () => CALL_MS,
  };
  const booked = summarize(serve({ ...load, bookedReturns: true }));
  const unbooked = summarize(serve({ ...load, bookedReturns: false }));
  assert.ok(booked.inTime >= 0.5, JSON.stringify(booked));
  assert.ok(booked.inTime >= unbooked.inTime + 0.2, JSON.stringify(unbooked));
  assert.ok(booked.served >= unbooked.served + 0.15);
  assert.equal(booked.wasted, 0);
});

test("serves all calls in time below the room although a replica slows down", () => {
  const calls = serve({
    rate: () => CAPACITY * 0.6,
    callMs: (incarnation, now) =>
      incarnation === "b" && now >= 1000 && now < 3000
        ? CALL_MS * 2.5
        : CALL_MS,
    bookedReturns: true,
  });
  const { inTime } = summarize(calls);
  assert.ok(inTime >= 0.99, `${inTime}`);
});

test("refuses a call that can't end before its deadline, and a late one only if it harms others", () => {
  const call = {
    endAt: 100,
    dueAt: 200,
    deadlineAt: 600,
    hasPlace: false,
    isOverloaded: true,
  };
  assert.ok(admitsCall(call));
  assert.ok(!admitsCall({ ...call, endAt: 300 }));
  assert.ok(admitsCall({ ...call, endAt: 300, isOverloaded: false }));
  assert.ok(admitsCall({ ...call, endAt: 300, hasPlace: true }));
  const tooLate = { ...call, endAt: 599, isOverloaded: false, hasPlace: true };
  assert.ok(!admitsCall(tooLate));
  assert.ok(admitsCall({ ...tooLate, deadlineAt: Infinity }));
});

test("predicts the end of a call from the calls in flight, slots and service times", () => {
  let inFlight = 1;
  const forecast = new PlainForecast(() => inFlight);
  const replica = { incarnation: "a", slots: 4 };
  for (let count = 0; count < 50; count++) {
    forecast.noteEnd(replica, { lifetimeMs: 20, callsAhead: 3 });
  }
  assert.ok(Math.abs(forecast.endMs(replica) - 20) < 0.1);
  inFlight = 11;
  assert.ok(Math.abs(forecast.waitMs(replica) - 40) < 0.1);
  // Seven calls at four slots: an eighth one waits for one service time.
  const queued = { lifetimeMs: 100, callsAhead: 7 };
  for (let count = 0; count < 100; count++) forecast.noteEnd(replica, queued);
  assert.ok(Math.abs(forecast.callMs("a") - 50) < 0.5);
  assert.ok(Math.abs(forecast.callsPerMs([replica]) - 4 / 50) < 0.002);
});
