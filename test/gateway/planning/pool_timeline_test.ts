/**
 * Places in time of waiting requests at a pool. Guards against replicas that are
 * left out of the search although they have room first, and against a search
 * that gets longer with the pool.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { PoolTimeline } from "../../../src/gateway/planning/pool_timeline.ts";
import { EQUAL_RATES } from "../../../src/gateway/planning/replica_rates.ts";
import { seededRandom } from "./arrival_rig.ts";
import { createLedger, learnedLengths } from "./ledger_rig.ts";
import { MEMORY, planRequest, replica } from "./planner_rig.ts";

const NOW = 10_000;
/** Searches of one replica for a place, and taking it, on average. */
const MAX_WORK = 5;

function timelineOf(
  decodes: readonly ReplicaEntry[],
  runs: Parameters<typeof createLedger>[0],
): PoolTimeline {
  return new PoolTimeline({
    pool: {
      memory: MEMORY,
      healthyDecodes: decodes,
      healthyPrefills: [],
      prefillMs: (promptTokens) => promptTokens / 2,
    },
    ledger: createLedger(runs),
    rates: EQUAL_RATES,
    lengths: learnedLengths(),
    now: NOW,
    firstEventMs: 150,
  });
}

function decodesOf(count: number, slots = 4): ReplicaEntry[] {
  return Array.from(
    { length: count },
    (_, index) => ({
      ...replica(`d${index}`, ReplicaStage.decode),
      slots,
    }),
  );
}

const tokens = fc.integer({ min: 1, max: MEMORY + 50 });
const outputTokens = fc.integer({ min: 1, max: 200 });
const promptTokens = fc.integer({ min: 1, max: 400 });
const run = fc.record({
  decode: fc.integer({ min: 0, max: 4 }).map((index) => `d${index}`),
  tokens: fc.integer({ min: 1, max: MEMORY / 2 }),
  outputTokens,
  startedAt: fc.integer({ min: NOW - 4000, max: NOW }),
});
const request = fc.record({
  tokens,
  outputTokens,
  promptTokens,
  excluded: fc.uniqueArray(fc.constantFrom("d0", "d3"), { maxLength: 2 }),
});

test("a request gets the first place of all replicas, as if each was searched", () => {
  fc.assert(fc.property(
    fc.array(run, { maxLength: 20 }),
    fc.array(request, { maxLength: 30 }),
    (runs, requests) => {
      const decodes = decodesOf(5);
      const pool = timelineOf(decodes, runs);
      const alone = decodes.map((decode) => timelineOf([decode], runs));
      for (const [index, overrides] of requests.entries()) {
        const asked = planRequest(`r${index}`, overrides);
        const places = alone.map((timeline) => timeline.placeFor(asked, NOW));
        const startsAt = Math.min(
          ...places.map((place) => place?.startsAt ?? Infinity),
        );
        const first = places.findIndex((place) => place?.startsAt === startsAt);
        const place = pool.placeFor(asked, NOW);
        assert.deepEqual(place, places[first]);
        if (!place) continue;
        pool.take(place, asked.promptTokens);
        alone[first]?.take(place, asked.promptTokens);
      }
    },
  ));
});

test("the work for a place doesn't grow with the pool", () => {
  const random = seededRandom(5);
  for (const decodes of [10, 40, 160]) {
    const runs = Array.from({ length: decodes * 6 }, (_, index) => ({
      decode: `d${index % decodes}`,
      tokens: 50 * Math.ceil(6 * random()),
      outputTokens: Math.ceil(20 * 10 ** random()),
      startedAt: NOW - Math.round(random() * 2000),
    }));
    const timeline = timelineOf(decodesOf(decodes, 12), runs);
    const before = timeline.work;
    const placements = decodes * 4;
    for (let index = 0; index < placements; index++) {
      const asked = planRequest(`r${index}`, {
        tokens: 50 * Math.ceil(10 ** random()),
        outputTokens: Math.ceil(20 * 10 ** random()),
      });
      const place = timeline.placeFor(asked, NOW);
      assert.ok(place);
      timeline.take(place, asked.promptTokens);
    }
    const work = (timeline.work - before) / placements;
    assert.ok(work <= MAX_WORK, `${work} in ${decodes} replicas`);
  }
});
