/**
 * Ejections that a planner gets from the one before it. Guards against failing
 * replicas that get requests again because their planner has changed, and
 * against ejections that no longer hold.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Standing } from "../../../src/gateway/planning/ejection.ts";
import {
  POOL,
  type RatedPlanner,
  ratedPlanner,
  receive,
  SERVICE,
  transmitted,
} from "./handover_rig.ts";
import { messages, planRequest } from "./planner_rig.ts";
import { playAll, type RatesRig } from "./rates_rig.ts";

/** Drives the rates of a planner with single runs. */
function rigOf({ measuredRates, ledger }: RatedPlanner): RatesRig {
  return {
    rates: measuredRates,
    ledger,
    pool: POOL,
    events: [],
    ejected: (now) =>
      POOL.map(({ incarnation }) => incarnation)
        .filter((incarnation) => measuredRates.isEjected(incarnation, now)),
  };
}

/** A planner that has just ejected d1 and d2, which fail. */
function withFailing() {
  const planner = ratedPlanner(POOL);
  const rig = rigOf(planner);
  const isFailing = (index: number) => index === 1 || index === 2;
  const runOf = (index: number) => isFailing(index) ? { runMs: undefined } : {};
  playAll(rig, { from: 0, until: 3000 }, runOf);
  const now = 3000;
  assert.deepEqual(rig.ejected(now), ["d1", "d2"]);
  const summary = transmitted(planner.rateHandover.summaryOf(SERVICE, now));
  return { summary, now };
}

test("the next planner ejects what the last one has ejected", () => {
  const { summary, now } = withFailing();
  const next = ratedPlanner(POOL);
  receive(next, summary, { now, ageMs: 0 });
  assert.deepEqual(rigOf(next).ejected(now), ["d1", "d2"]);
  assert.deepEqual(
    next.events.map(({ name }) => name),
    ["replicaEjected", "replicaEjected", "ratesHandedOver"],
  );
  receive(next, summary, { now, ageMs: 0 });
  assert.equal(next.events.length, 3);
});

test("estimates and ejections from when a host planned before are not passed on", () => {
  const planner = ratedPlanner(POOL);
  const failing = { runMs: undefined };
  const runOf = (index: number) => index === 1 ? failing : {};
  playAll(rigOf(planner), { from: 0, until: 5000 }, runOf);
  assert.ok(planner.rateHandover.summaryOf(SERVICE, 5000));
  const now = 600_000;
  const request = planRequest("new", { whole: true });
  planner.planner.enqueue("h", request, now);
  assert.equal(messages(planner.planner, now)[0]?.type, "grant");
  assert.equal(planner.rateHandover.summaryOf(SERVICE, now), undefined);
});

test("the trials of an ejected replica are due when they were before", () => {
  const { summary, now } = withFailing();
  const [replica] = POOL.filter(({ incarnation }) => incarnation === "d1");
  assert.ok(replica);
  const request = { host: "h", hall: "a", repeatable: true, begun: false };
  const standingAt = (ageMs: number) => {
    const next = ratedPlanner(POOL);
    receive(next, summary, { now, ageMs });
    return next.measuredRates.standing(replica, request, now);
  };
  assert.equal(standingAt(0), Standing.spare);
  assert.equal(standingAt(8000), Standing.trial);
});

test("an ejection of more than ten seconds ago is not adopted", () => {
  const { summary, now } = withFailing();
  const ejectedAfter = (ageMs: number) => {
    const next = ratedPlanner(POOL);
    receive(next, summary, { now, ageMs });
    return rigOf(next).ejected(now).length;
  };
  assert.deepEqual([10_000, 10_001].map(ejectedAfter), [2, 0]);
});

test("an ejection by another planner is not adopted if requests succeed here", () => {
  const { summary, now } = withFailing();
  const next = ratedPlanner(POOL);
  const rig = rigOf(next);
  playAll(rig, { from: now - 600, until: now }, () => ({}));
  receive(next, summary, { now, ageMs: 0 });
  assert.deepEqual(rig.ejected(now), []);
});

test("an adopted ejection leaves two thirds of the pool", () => {
  const { now } = withFailing();
  const summary = {
    units: [],
    lengths: [],
    replicas: POOL.map(({ incarnation }) => ({
      id: incarnation,
      ejected: ["silent", 50, 999_999],
    })),
  };
  const next = ratedPlanner(POOL);
  receive(next, summary, { now, ageMs: 0 });
  assert.equal(rigOf(next).ejected(now).length, 2);
  assert.equal(next.counters.get("replica_ejections_denied"), 6);
});
