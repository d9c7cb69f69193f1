/**
 * Calls that run once while replicas break calls off. Guards against calls that
 * are lost although other replicas have room, and against queues at these.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
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
  seconds: 12,
  perSecond: 300,
  scheduling: { replicaRates: true },
  pauses: true,
  routes: [
    { name: "status", repeatable: true },
    { name: "command", repeatable: false },
  ],
  budget: { ratio: 0.2, extra: 20 },
  workMs: (random) => 30 + 60 * random(),
};

/** In [0, 1), independent for the first two attempts. */
function luckOfAttempt({ luck, sends }: SimulatedCall): number {
  return sends === 1 ? luck : (luck * 4096) % 1;
}

/** One replica after the other breaks a share of its calls for two seconds. */
function breaksInTurn(share: number): PlainLoad["breaks"] {
  return (call, replica, now) =>
    replica === Math.floor(now / 3000) % 6 && now % 3000 < 2000 &&
    luckOfAttempt(call) < share;
}

/** Shares of the calls served within the objective, over all seeds. */
function play(load: PlainLoad, avoidBroken: boolean) {
  const scheduling = { ...load.scheduling, avoidBroken };
  const calls = SEEDS.flatMap((seed) =>
    serveLoad({ ...load, scheduling }, seed).calls
  );
  const served = (isRepeatable: boolean) =>
    shareServed(
      calls.filter(({ repeatable }) => repeatable === isRepeatable),
      OBJECTIVE_MS,
    );
  return { safe: served(true), once: served(false) };
}

/** What two runs with few lost calls each may differ by. */
const CHANCE = 0.003;

for (const share of [0.15, 0.4]) {
  test(`a replica breaks ${share} of its calls: fewer calls that run once are lost`, () => {
    const load = { ...LOAD, breaks: breaksInTurn(share) };
    const before = play(load, false);
    const after = play(load, true);
    const figures = JSON.stringify([before, after]);
    assert.ok(1 - after.once < 0.8 * (1 - before.once), figures);
    assert.ok(after.safe > before.safe - CHANCE, figures);
  });
}

const NEUTRAL: Readonly<Record<string, Partial<PlainLoad>>> = {
  "a service near its limit": {
    perSecond: 520,
    breaks: breaksInTurn(0.4),
  },
  "all replicas break some calls": {
    breaks: (call) => luckOfAttempt(call) < 0.03,
  },
};

for (const [name, change] of Object.entries(NEUTRAL)) {
  test(`${name}: nobody is served later`, () => {
    const before = play({ ...LOAD, ...change }, false);
    const after = play({ ...LOAD, ...change }, true);
    const figures = JSON.stringify([before, after]);
    assert.ok(after.once > before.once - CHANCE, figures);
    assert.ok(after.safe > before.safe - CHANCE, figures);
  });
}

test("without broken calls nothing changes", () => {
  const served = [false, true].map((avoidBroken) => {
    const scheduling = { replicaRates: true, avoidBroken };
    return serveLoad({ ...LOAD, scheduling }).calls;
  });
  assert.deepEqual(served[0], served[1]);
});
