/**
 * Callers of an overloaded pool, in virtual time: who is served at the first
 * try, who is refused, how long those wait that aren't served.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { ask, messages, replica, view } from "./planner_rig.ts";

const STEP_MS = 10;
const LIFE_MS = 2000;
const PATIENCE_MS = 3000;
const SLACK_MS = 900;
const TOKENS = 250;
const DECODES = 10;
/** Requests that the pool can hold at once: four a replica of 1,000 tokens. */
const PLACES = DECODES * 4;
/** Requests a second that it can begin. */
const CAPACITY = PLACES / LIFE_MS * 1000;

/** What became of one caller. */
type Caller = {
  readonly key: string;
  readonly firstAt: number;
  askedAt: number;
  tries: number;
  /** When it was granted a place. */
  servedAt?: number;
  /** How long each refused try had waited. */
  readonly refusedAfter: number[];
};

type Play = {
  /** Requests a second at a time. */
  rate(now: number): number;
  replicas(now: number): readonly ReplicaEntry[];
  readonly untilMs: number;
};

function decodes(count: number): ReplicaEntry[] {
  return Array.from(
    { length: count },
    (_, at) => replica(`d${at}`, ReplicaStage.decode),
  );
}

/** Plays callers who come back once, at the time that they were told. */
function play({ rate, replicas, untilMs }: Play): Caller[] {
  const time = { now: 0 };
  const planner = new Planner(view({ replicasOf: () => replicas(time.now) }));
  const callers = new Map<string, Caller>();
  const ends: { id: string; at: number; decode: string }[] = [];
  const returns: { caller: Caller; at: number }[] = [];
  let due = 0;
  const send = (caller: Caller) => {
    caller.tries += 1;
    caller.askedAt = time.now;
    const id = `${caller.key}/${caller.tries}`;
    callers.set(id, caller);
    const slackMs = caller.firstAt + SLACK_MS - time.now;
    const times = { slackMs, patienceMs: PATIENCE_MS };
    const { key } = caller;
    planner.enqueue("h", ask(id, { key, tokens: TOKENS, ...times }), time.now);
  };
  const all: Caller[] = [];
  for (; time.now < untilMs; time.now += STEP_MS) {
    const { now } = time;
    for (due += rate(now) * STEP_MS / 1000; due >= 1; due -= 1) {
      const key = `k${all.length}`;
      const caller = {
        key,
        firstAt: now,
        askedAt: now,
        tries: 0,
        refusedAfter: [],
      };
      all.push(caller);
      send(caller);
    }
    for (const back of returns.filter((one) => one.at <= now)) {
      returns.splice(returns.indexOf(back), 1);
      send(back.caller);
    }
    for (const end of ends.filter((one) => one.at <= now)) {
      ends.splice(ends.indexOf(end), 1);
      const stage = "answered" as const;
      planner.report({ type: "progress", id: end.id, stage }, now);
    }
    for (const message of messages(planner, now)) {
      if (message.type === "ping") continue;
      const caller = callers.get(message.id);
      assert.ok(caller);
      if (message.type === "grant") {
        caller.servedAt = now;
        ends.push({
          id: message.id,
          at: now + LIFE_MS,
          decode: message.decode,
        });
        continue;
      }
      caller.refusedAfter.push(now - caller.askedAt);
      if (caller.tries > 1) continue;
      const at = now + (message.retryAfterMs ?? 1000);
      returns.push({ caller, at });
    }
  }
  return all;
}

function report(callers: readonly Caller[]) {
  const served = callers.filter((one) => one.servedAt !== undefined);
  return {
    firstTry: served.filter((one) => one.tries === 1).length / callers.length,
    onTime:
      served.filter((one) => (one.servedAt ?? 0) <= one.firstAt + SLACK_MS)
        .length / callers.length,
    refusedTwice: callers.filter((one) => one.refusedAfter.length > 1).length,
    longestHeld: Math.max(0, ...callers.flatMap((one) => one.refusedAfter)),
    served: served.length / callers.length,
  };
}

test("in a burst of twice the capacity nobody is refused twice or held in vain", () => {
  const callers = play({
    rate: (now) => now < 2000 || now > 6000 ? CAPACITY / 2 : CAPACITY * 2,
    replicas: () => decodes(DECODES),
    untilMs: 14_000,
  }).filter((one) => one.firstAt < 10_000);
  const { firstTry, onTime, refusedTwice, longestHeld, served } = report(
    callers,
  );
  assert.equal(served, 1);
  assert.equal(refusedTwice, 0);
  // 80 of the 160 that come in the burst fit into it.
  assert.ok(firstTry >= 0.55, `first try ${firstTry}`);
  assert.ok(onTime >= 0.55, `on time ${onTime}`);
  assert.ok(longestHeld <= 1000, `held ${longestHeld} ms`);
});

test("when half of the engines go for five seconds the refused are told so soon", () => {
  const callers = play({
    rate: () => CAPACITY * 0.7,
    replicas: (now) =>
      decodes(now < 3000 || now > 8000 ? DECODES : DECODES / 2),
    untilMs: 18_000,
  }).filter((one) => one.firstAt < 14_000);
  const { firstTry, refusedTwice, longestHeld, served } = report(callers);
  assert.ok(served >= 0.95, `served ${served}`);
  assert.equal(refusedTwice, 0);
  assert.ok(firstTry >= 0.85, `first try ${firstTry}`);
  assert.ok(longestHeld <= 1000, `held ${longestHeld} ms`);
});

test("below its capacity a pool serves all at the first try and on time", () => {
  const callers = play({
    rate: () => CAPACITY * 0.8,
    replicas: () => decodes(DECODES),
    untilMs: 10_000,
  }).filter((one) => one.firstAt < 7000);
  const { firstTry, onTime } = report(callers);
  assert.deepEqual([firstTry, onTime], [1, 1]);
});
