/**
 * Error responses of plain replicas. Guards against retries that only add load,
 * and against replicas that are blamed for the errors of a route.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type PlainLoad,
  shareServed,
  type SimulatedCall,
} from "./plain_load.ts";
import { serveLoad } from "./plain_service_rig.ts";
import {
  ErrorOrigin,
  ErrorOrigins,
} from "../../../src/gateway/planning/error_origins.ts";

const ON = { replicaRates: true, errorOrigins: true };
const OFF = { replicaRates: true, errorOrigins: false };

const LOAD: PlainLoad = {
  replicas: 6,
  seconds: 15,
  perSecond: 300,
  scheduling: ON,
  routes: [
    { name: "good", repeatable: true },
    { name: "bad", repeatable: true },
  ],
  budget: { ratio: 0.5, extra: 100 },
  workMs: (random) => 20 + 40 * random(),
};
const isBad = ({ route }: SimulatedCall) => route === "bad";
const isGood = ({ route }: SimulatedCall) => route === "good";

/** In [0, 1), independent for the first two attempts. */
function luckOfAttempt({ luck, sends }: SimulatedCall): number {
  return sends === 1 ? luck : (luck * 4096) % 1;
}

function sendsPerCall(calls: readonly SimulatedCall[]): number {
  return calls.reduce((sum, { sends }) => sum + sends, 0) / calls.length;
}

/** Calls after the counts are known. */
function settled(calls: readonly SimulatedCall[]): readonly SimulatedCall[] {
  return calls.filter(({ at }) => at > 3000);
}

test("a route that fails at all replicas: its errors are hardly retried, and blame no replica", () => {
  const load = { ...LOAD, fails: isBad };
  const before = serveLoad({ ...load, scheduling: OFF });
  const after = serveLoad(load);
  assert.ok(sendsPerCall(settled(before.calls).filter(isBad)) > 1.5);
  assert.ok(sendsPerCall(settled(after.calls).filter(isBad)) < 1.05);
  assert.ok(after.failuresNoted < before.failuresNoted / 10);
  assert.equal(after.events[0], "errorRetriesStopped");
  assert.ok(!after.events.includes("replicaEjected"));
});

test("errors by chance at all replicas are retried, since retries succeed", () => {
  const fails = (call: SimulatedCall) =>
    isBad(call) && luckOfAttempt(call) < 0.14;
  const { calls, events } = serveLoad({ ...LOAD, fails });
  assert.ok(!events.includes("errorRetriesStopped"));
  const bad = calls.filter(isBad);
  assert.ok(shareServed(bad, Infinity) > 0.95);
  assert.ok(sendsPerCall(bad) > 1.1);
});

test("a replica that fails alone: its errors are retried and it is ejected", () => {
  const fails = (_: SimulatedCall, replica: number) => replica === 0;
  const { calls, events, counts, sendsTo } = serveLoad({ ...LOAD, fails });
  assert.ok(events.includes("replicaEjected"));
  assert.ok(!events.includes("errorRetriesStopped"));
  assert.ok(shareServed(calls, Infinity) > 0.99);
  assert.ok((sendsTo[0] ?? 0) < 0.1 * (sendsTo[1] ?? 0));
  assert.equal(counts.get("error_responses_route"), undefined);
});

test("a replica that fails beside a failing route is told from it", () => {
  const fails = (call: SimulatedCall, replica: number) =>
    replica === 0 || (isBad(call) && call.luck < 0.3);
  const before = serveLoad({ ...LOAD, fails, scheduling: OFF });
  const after = serveLoad({ ...LOAD, fails });
  assert.ok(after.events.includes("replicaEjected"));
  assert.ok(after.events.includes("errorRetriesStopped"));
  const good = (calls: readonly SimulatedCall[]) =>
    shareServed(calls.filter(isGood), Infinity);
  assert.ok(good(after.calls) > 0.99);
  assert.ok(good(after.calls) >= good(before.calls) - 0.005);
});

test("retries resume when the route fails by chance only", () => {
  const fails = (call: SimulatedCall, _: number, now: number) =>
    isBad(call) && (now < 6000 || (call.luck < 0.1 && call.sends === 1));
  const { calls, events } = serveLoad({ ...LOAD, fails, seconds: 30 });
  assert.ok(events.includes("errorRetriesResumed"));
  const late = calls.filter((call) => isBad(call) && call.at > 25_000);
  assert.ok(shareServed(late, Infinity) > 0.97);
});

test("a service near its limit: callers of a good route are served in time", () => {
  const load = { ...LOAD, perSecond: 640, fails: isBad };
  const shares = [OFF, ON].map((scheduling) => {
    const { calls } = serveLoad({ ...load, scheduling });
    return shareServed(settled(calls).filter(isGood), 150);
  });
  const [before = 1, after = 0] = shares;
  assert.ok(after > 0.95, String(shares));
  assert.ok(after > before + 0.2, String(shares));
});

test("half of the replicas fail: nobody's retries are stopped", () => {
  const fails = (_: SimulatedCall, replica: number) => replica < 3;
  const { events } = serveLoad({ ...LOAD, fails });
  assert.ok(!events.includes("errorRetriesStopped"));
});

test("a service without errors costs nothing and gets no advice", () => {
  const served = [OFF, ON].map((scheduling) =>
    serveLoad({ ...LOAD, scheduling }).calls
  );
  assert.deepEqual(served[0], served[1]);
});

test("origins by counting", () => {
  const origins = new ErrorOrigins();
  const call = (incarnation: string) => ({
    service: "s",
    route: "r",
    incarnation,
  });
  assert.equal(origins.originOf(call("a"), 0), ErrorOrigin.unclear);
  for (let round = 0; round < 20; round++) {
    for (const incarnation of ["a", "b", "c"]) {
      const isError = incarnation === "a" || round % 10 === 0;
      origins.note(call(incarnation), isError, round);
    }
  }
  assert.equal(origins.originOf(call("a"), 20), ErrorOrigin.replica);
  assert.equal(origins.originOf(call("b"), 20), ErrorOrigin.route);
  assert.equal(origins.originOf(call("b"), 60_000), ErrorOrigin.unclear);
});
