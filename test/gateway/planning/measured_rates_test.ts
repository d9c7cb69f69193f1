/**
 * Speeds of uneven replicas. Guards against placement and ejection by noise, by
 * a stale estimate, or by times that hold for the whole pool.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { replicaEntry } from "../replica_entry.ts";
import {
  EVENTS,
  grant,
  play,
  playAll,
  type RatesRig,
  ratesRig,
  report,
} from "./rates_rig.ts";

const FAST_MS = 1500;
const SLOW_MS = 3500;

function isNear(actual: number, expected: number, tolerance = 0.15): void {
  const message = `${actual} is not near ${expected}`;
  assert.ok(Math.abs(actual / expected - 1) < tolerance, message);
}

function speeds({ rates, pool }: RatesRig): number[] {
  return pool.map(({ incarnation }) => rates.speedOf(incarnation));
}

test("a quarter of the replicas twice as fast is known after some runs", () => {
  const rig = ratesRig(24);
  playAll(rig, { from: 0, until: 6000 }, (index) => ({
    runMs: index % 4 === 0 ? FAST_MS : SLOW_MS,
  }));
  isNear(rig.rates.speedOf("r0"), SLOW_MS / FAST_MS);
  isNear(rig.rates.speedOf("r1"), 1);
  isNear(rig.rates.runMs("r0", EVENTS), FAST_MS);
  isNear(rig.rates.runMs("r1", EVENTS), SLOW_MS);
  assert.deepEqual(rig.ejected(6000), []);
});

test("without runs all replicas are equal", () => {
  const { rates } = ratesRig(3);
  assert.equal(rates.speedOf("r0"), 1);
  assert.equal(rates.runMs("r0", 10), rates.runMs("r1", 10));
});

test("noise of 2.5 times ejects nothing and leaves the speeds near 1", () => {
  const seeds = fc.array(fc.boolean(), { minLength: 40, maxLength: 40 });
  fc.assert(fc.property(seeds, (slowSpells) => {
    const rig = ratesRig(6);
    playAll(rig, { from: 0, until: 12_000 }, (index, now) => {
      const isSlow = slowSpells[(now / 300 + 7 * index) % slowSpells.length];
      // A run averages over a slow spell and the time around it.
      return { runMs: isSlow ? 2000 * 1.8 : 2000 };
    });
    assert.deepEqual(rig.ejected(12_000), []);
    for (const speed of speeds(rig)) assert.ok(speed > 0.6 && speed < 1.6);
  }));
});

test("if all replicas are slow, none counts as slow", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 3000 }, () => ({ runMs: 2000 }));
  playAll(rig, { from: 3000, until: 8000 }, () => ({ runMs: 10_000 }));
  assert.deepEqual(rig.ejected(8000), []);
  for (const speed of speeds(rig)) isNear(speed, 1);
});

test("prefills and decodes give one speed, which a change of stage keeps", () => {
  const rig = ratesRig(8);
  const [decode] = rig.pool;
  assert.ok(decode);
  playAll(rig, { from: 0, until: 6000 }, (index) => ({
    runMs: index === 0 ? FAST_MS : SLOW_MS,
    prefill: {
      replica: `r${index + 1}`,
      spentMs: index + 1 === 7 ? 45 : 100,
    },
  }));
  assert.ok(rig.rates.speedOf("r7") > 1.3);
  assert.ok(rig.rates.speedOf("r0") > 1.3);
  isNear(rig.rates.speedOf("r3"), 1);
});

test("a restarted replica under the same id begins without history", () => {
  const rig = ratesRig(6);
  playAll(rig, { from: 0, until: 6000 }, (index) => ({
    runMs: index === 0 ? SLOW_MS * 2 : SLOW_MS,
  }));
  rig.pool[0] = replicaEntry("r0@2", { id: "r0", stage: "decode" });
  rig.rates.standing(
    rig.pool[0],
    { host: "h", hall: "h", repeatable: true, begun: false },
    6200,
  );
  assert.ok(rig.rates.speedOf("r0") < 0.7);
  assert.equal(rig.rates.speedOf("r0@2"), 1);
});

test("reports that are lost, late or repeated don't change the rate of a run", () => {
  const rig = ratesRig(3);
  const [replica] = rig.pool;
  assert.ok(replica);
  playAll(rig, { from: 0, until: 6000 }, () => ({ runMs: 2100 }));
  const before = rig.rates.runMs("r0", EVENTS);
  const entry = grant(rig, { replica, now: 6000 });
  const running = (events: number) =>
    report(entry, "running", { events, runMs: events * 30 });
  for (const events of [40, 40, 20, 60]) {
    rig.rates.noteProgress(entry, running(events), 6000 + events * 30);
  }
  const end = report(entry, "answered", { events: 70, runMs: 2100 });
  rig.rates.noteEnd(entry, end, 8100);
  isNear(rig.rates.runMs("r0", EVENTS), before, 0.01);
});

test("the time of a plain call in a queue doesn't count as slowness", () => {
  const rig = ratesRig(3);
  const call = (replica: string, now: number, runMs: number) => {
    const [first] = rig.pool;
    assert.ok(first);
    const entry = {
      ...grant(rig, { replica: { ...first, incarnation: replica }, now }),
      promptTokens: 0,
      outputTokens: 0,
      tokens: 1,
    };
    rig.ledger.remove(entry.id);
    rig.rates.noteEnd(entry, report(entry, "answered", { runMs }), now);
  };
  playAll(rig, { from: 0, until: 300 }, () => ({}));
  for (let count = 0; count < 15; count++) {
    const [first] = rig.pool;
    assert.ok(first);
    rig.ledger.add({
      ...grant(rig, { replica: first, now: 0 }),
      id: `queued${count}`,
      tokens: 1,
    });
  }
  for (let now = 300; now < 6000; now += 100) {
    const queued = rig.ledger.reservedTokensAt("r0") + 1;
    call("r0", now, 50 * queued / 8);
    call("r1", now, 50);
    call("r2", now, 50);
  }
  isNear(rig.rates.callMs("r0"), 50);
});

test("a replica that looks slow and gets no work is soon taken for usual", () => {
  const rig = ratesRig(3);
  const isIdle = (index: number, now: number) => index === 0 && now >= 3600;
  for (const [from, until] of [[0, 3600], [3600, 24_000]] as const) {
    playAll(rig, { from, until }, (index, now) => ({
      replica: rig.pool[isIdle(index, now) ? 1 : index] ?? replicaEntry("r"),
      runMs: index === 0 && now >= 2400 && now < 3600 ? 8000 : 2000,
    }));
    const ratio = rig.rates.runMs("r0", EVENTS) / rig.rates.runMs("r1", EVENTS);
    if (until === 3600) assert.ok(ratio > 1.25, String(ratio));
    else isNear(ratio, 1, 0.1);
  }
});

test("a pool of one is never slow", () => {
  const rig = ratesRig(1);
  playAll(rig, { from: 0, until: 3000 }, () => ({}));
  playAll(rig, { from: 3000, until: 9000 }, () => ({ runMs: 20_000 }));
  assert.deepEqual(rig.ejected(9000), []);
  const [replica] = rig.pool;
  assert.ok(replica);
  assert.equal(play(rig, { replica, now: 9000, runMs: 1 }), true);
});
