/**
 * A planner that gets the estimates of the one before it. Guards against a new
 * planner that sends the first requests to replicas known to be slow, and
 * against estimates of another planner that displace its own.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import {
  AGE_MS,
  learned,
  PlannedLoad,
  POOL,
  ratedPlanner,
  receive,
  SERVICE,
  shareOf,
  SLOW,
  type Slowness,
  speeds,
} from "./handover_rig.ts";

const BURST = 40;

const FAST_QUARTER: Slowness = (incarnation) =>
  incarnation === "d0" || incarnation === "d1" ? 0.5 : 1;

/** Decode replicas of a burst that arrives just after the planner changed. */
function burstAfterChange(slownessOf: Slowness, isHandedOver: boolean) {
  const { load, summary } = learned(slownessOf);
  const next = ratedPlanner(POOL);
  load.handOverRuns(next);
  if (isHandedOver) receive(next, summary, load);
  load.burst(BURST);
  return { decodes: load.play(next, AGE_MS), load, next };
}

/** The same burst without a change of planner. */
function burstWithoutChange(slownessOf: Slowness): string[] {
  const { load, planner } = learned(slownessOf);
  load.burst(BURST);
  return load.play(planner, AGE_MS);
}

test("a replica that is five times slower gets no more from the next planner than from the last", () => {
  const usual = shareOf(burstWithoutChange(SLOW), ["d2"]);
  const { decodes, next } = burstAfterChange(SLOW, true);
  const without = shareOf(burstAfterChange(SLOW, false).decodes, ["d2"]);
  const share = shareOf(decodes, ["d2"]);
  assert.equal(decodes.length, BURST);
  assert.ok(share <= usual + 1 / BURST, `${share}, usually ${usual}`);
  assert.ok(without > 2 * share, `${without} without a handover`);
  assert.deepEqual(next.events.map(({ name }) => name), ["ratesHandedOver"]);
});

test("a quarter of the replicas twice as fast gets its part from the next planner at once", () => {
  const fast = ["d0", "d1"];
  const usual = shareOf(burstWithoutChange(FAST_QUARTER), fast);
  const share = shareOf(burstAfterChange(FAST_QUARTER, true).decodes, fast);
  const without = shareOf(burstAfterChange(FAST_QUARTER, false).decodes, fast);
  assert.ok(share >= usual, `${share}, usually ${usual}`);
  assert.ok(without < share, `${without} without a handover`);
});

test("a planner to which nothing was handed over places requests as with the setting off", () => {
  const bursts = [true, false].map((rateHandover) => {
    const { load } = learned(SLOW);
    const next = ratedPlanner(POOL, { rateHandover });
    load.handOverRuns(next);
    load.burst(BURST);
    return load.play(next, AGE_MS);
  });
  assert.deepEqual(bursts[0], bursts[1]);
});

test("with the setting off nothing is summarized or adopted", () => {
  const { load, planner, summary } = learned(SLOW);
  for (const off of [{ rateHandover: false }, { replicaRates: false }]) {
    const next = ratedPlanner(POOL, off);
    receive(next, summary, load);
    assert.equal(next.rateHandover.summaryOf(SERVICE, load.now), undefined);
    assert.deepEqual(speeds(next, load.now), POOL.map(() => 1));
    assert.equal(next.counters.size, 0);
  }
  assert.ok(planner.rateHandover.summaryOf(SERVICE, load.now));
});

test("a planner that was killed before it measured anything has no summary", () => {
  const planner = ratedPlanner(POOL);
  assert.equal(planner.rateHandover.summaryOf(SERVICE, 0), undefined);
  const load = new PlannedLoad({ replicas: 8, share: 0.5, slownessOf: SLOW });
  load.play(planner, 100);
  assert.equal(planner.rateHandover.summaryOf(SERVICE, load.now), undefined);
});

test("a summary that arrives twice counts once", () => {
  const { load, summary } = learned(SLOW);
  const next = ratedPlanner(POOL);
  receive(next, summary, load);
  const once = speeds(next, load.now);
  receive(next, summary, load);
  assert.deepEqual(speeds(next, load.now), once);
  assert.equal(next.events.length, 1);
  assert.equal(next.counters.get("rate_handovers_received"), 2);
  assert.equal(next.counters.get("rate_handovers_adopted"), 1);
});

test("a late summary changes no estimate that rests on own samples", () => {
  const { summary } = learned(SLOW);
  const later = learned((incarnation) => incarnation === "d5" ? 5 : 1);
  const before = speeds(later.planner, later.load.now);
  receive(later.planner, summary, later.load);
  assert.deepEqual(speeds(later.planner, later.load.now), before);
});

test("a summary older than half a minute is ignored", () => {
  const { load, summary } = learned(SLOW);
  const next = ratedPlanner(POOL);
  for (const ageMs of [30_001, Infinity, -1, NaN]) {
    receive(next, summary, { now: load.now, ageMs });
  }
  assert.deepEqual(speeds(next, load.now), POOL.map(() => 1));
  assert.equal(next.counters.get("rate_handovers_expired"), 2);
  assert.equal(next.counters.get("rate_handovers_rejected"), 2);
});

test("the older a summary, the less it counts", () => {
  const { load, summary } = learned(SLOW);
  const speedAt = (ageMs: number) => {
    const next = ratedPlanner(POOL);
    receive(next, summary, { now: load.now, ageMs });
    return speeds(next, load.now)[2] ?? 1;
  };
  const [fresh = 1, older = 1, oldest = 1] = [0, 10_000, 30_000].map(speedAt);
  assert.ok(fresh < 0.5, String(fresh));
  assert.ok(fresh < older && older < oldest && oldest < 1);
});

test("own samples replace an estimate that no longer holds within seconds", () => {
  const { summary } = learned(SLOW);
  const next = ratedPlanner(POOL);
  const load = new PlannedLoad({
    replicas: 8,
    share: 0.5,
    slownessOf: () => 1,
  });
  receive(next, summary, { now: 0, ageMs: 0 });
  load.play(next, 10_000);
  const speed = next.measuredRates.speedOf("d2");
  assert.ok(speed > 0.7, String(speed));
});

test("a replica that restarted under its id begins without history", () => {
  const { load, summary } = learned(SLOW);
  const pool = POOL.map((entry) =>
    entry.id === "d2" ? { ...entry, incarnation: "d2@2" } : entry
  );
  const next = ratedPlanner(pool);
  receive(next, summary, load);
  next.measuredRates.suspects(SERVICE, load.now);
  assert.equal(next.measuredRates.speedOf("d2@2"), 1);
  assert.equal(next.measuredRates.speedOf("d2"), 1);
  const [event] = next.events;
  assert.ok(event && "replicas" in event.fields);
  assert.equal(event.fields.replicas, POOL.length - 1);
});

test("after a cut heals, a planner keeps its estimates and learns those of the other hall", () => {
  const isHere = ({ hall }: ReplicaEntry) => hall !== "hall2";
  // The planner beyond the cut found the replicas of this side slow.
  const beyond = learned((incarnation) => {
    if (incarnation === "d5") return 3;
    return POOL.some((entry) =>
        isHere(entry) && entry.incarnation === incarnation
      )
      ? 0.4
      : 1;
  });
  const reached = POOL.filter(isHere);
  const planner = ratedPlanner(reached);
  const load = new PlannedLoad({
    replicas: reached.length,
    share: 0.5,
    slownessOf: () => 1,
  });
  load.play(planner, 20_000);
  reached.push(...POOL.filter((entry) => !isHere(entry)));
  const before = speeds(planner, load.now);
  receive(planner, beyond.summary, { now: load.now, ageMs: 0 });
  const after = speeds(planner, load.now);
  POOL.forEach((entry, index) => {
    const change = (after[index] ?? 0) / (before[index] ?? 0);
    if (isHere(entry)) assert.ok(Math.abs(change - 1) < 0.1, String(change));
  });
  const slow = planner.measuredRates.speedOf("d5");
  assert.ok(slow < 0.7, `d5: ${slow}`);
});
