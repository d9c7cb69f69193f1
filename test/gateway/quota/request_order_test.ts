/**
 * A customer over its quota was served in the order of arrival: less urgent
 * requests took the window before urgent ones, and small ones each gap that a
 * large one needed.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { unsafeUniformIntDistribution, xoroshiro128plus } from "pure-rand";
import "../../fixed_seed.ts";
import type { OrderRules } from "../../../src/gateway/quota/request_order.ts";
import {
  LIMIT,
  newLedger,
  type OrderOptions,
  type OrderRun,
  PER_SECOND,
  runStreams,
  type Stream,
  WINDOW_MS,
} from "./order_rig.ts";
import { mostInWindow } from "./most_in_window.ts";

const ALL: OrderRules = { priorities: true, largeRequests: true };
const PRIORITIES: OrderRules = { priorities: true, largeRequests: false };
const LARGE_REQUESTS: OrderRules = { priorities: false, largeRequests: true };
const SEEDS = [1, 2, 3];
/** The first numbers of generators with similar seeds are similar. */
const SKIPPED_NUMBERS = 100;

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  for (let index = 0; index < SKIPPED_NUMBERS; index++) generator.unsafeNext();
  const most = 0x7fffffff;
  return () => unsafeUniformIntDistribution(0, most, generator) / (most + 1);
}

function runSeeds(
  streams: readonly Stream[],
  options: Omit<OrderOptions, "random"> = {},
): OrderRun[] {
  return SEEDS.map((seed) =>
    runStreams(streams, { ...options, random: randomOf(seed) })
  );
}

/** Share of a stream's requests that were granted, over all runs. */
function grantedShare(runs: readonly OrderRun[], name: string): number {
  const of = (key: "asked" | "granted") =>
    runs.reduce((sum, { results }) => sum + (results.get(name)?.[key] ?? 0), 0);
  return of("granted") / of("asked");
}

function sumOf(runs: readonly OrderRun[]): number {
  return runs.reduce((total, { sum }) => total + sum, 0);
}

test("urgent requests go first while less urgent ones ask for five times the quota", () => {
  for (const units of [1000, 5000]) {
    const streams = [
      { name: "urgent", factor: 0.3, units, priority: 1, returns: 1 },
      { name: "other", factor: 5, units: 1000, priority: 2, returns: 1 },
    ];
    const before = runSeeds(streams);
    assert.ok(grantedShare(before, "urgent") < 0.3);
    const runs = runSeeds(streams, { order: PRIORITIES });
    assert.ok(grantedShare(runs, "urgent") > 0.8, `${units} units`);
    assert.ok(grantedShare(runs, "other") > 0.15, `${units} units`);
    assert.ok(sumOf(runs) >= sumOf(before) * 0.94, `${units} units`);
  }
});

test("urgent requests go first through a burst of less urgent ones", () => {
  const streams = [
    { name: "urgent", factor: 0.3, units: 5000, priority: 1 },
    { name: "usual", factor: 0.4, units: 1000, priority: 2 },
    {
      name: "burst",
      factor: 5,
      units: 1000,
      priority: 2,
      from: 12_000,
      to: 18_000,
    },
  ];
  const before = runSeeds(streams);
  const runs = runSeeds(streams, { order: PRIORITIES });
  assert.ok(grantedShare(before, "urgent") < 0.85);
  assert.ok(grantedShare(runs, "urgent") > 0.9);
  assert.ok(sumOf(runs) >= sumOf(before) * 0.97);
});

test("less urgent requests keep a part while urgent ones ask for all of the quota", () => {
  const streams = [0, 1, 2].map((priority) => ({
    name: String(priority),
    factor: 3,
    units: 500,
    priority,
  }));
  const before = runSeeds(streams);
  const runs = runSeeds(streams, { order: PRIORITIES });
  const [first, second, third] = [0, 1, 2].map((priority) =>
    grantedShare(runs, String(priority))
  );
  assert.ok(first && second && third);
  assert.ok(first > 2 * grantedShare(before, "0"));
  // A tenth of the window's units over what the second priority asks for.
  assert.ok(second > 0.03 && second < 0.06, String(second));
  assert.ok(third > 0.003 && third < second, String(third));
  assert.ok(sumOf(runs) >= sumOf(before) * 0.97);
});

test("large requests are granted as often as small ones", () => {
  const streams = [1000, 3000, 5000].map((units) => ({
    name: String(units),
    factor: 1,
    units,
  }));
  const before = runSeeds(streams);
  assert.ok(grantedShare(before, "5000") < grantedShare(before, "1000") * 0.8);
  const runs = runSeeds(streams, { order: LARGE_REQUESTS });
  const small = grantedShare(runs, "1000");
  const large = grantedShare(runs, "5000");
  assert.ok(large > small * 0.85 && large < small * 1.1, `${large}, ${small}`);
  assert.ok(sumOf(runs) >= sumOf(before) * 0.97);
});

test("requests of a tenth of the window are granted, though none comes back", () => {
  const streams = [
    { name: "large", factor: 0.3, units: 27_000 },
    { name: "small", factor: 3, units: 200 },
  ];
  const options = { forMs: 60_000 };
  // The first of them may arrive while the window is still empty.
  assert.ok(grantedShare(runSeeds(streams, options), "large") < 0.06);
  const runs = runSeeds(streams, { ...options, order: LARGE_REQUESTS });
  assert.ok(grantedShare(runs, "large") > 0.15);
  assert.ok(grantedShare(runs, "small") > 0.3);
});

/** Attempts until a large request is granted while small ones take each gap. */
function attemptsOfLarge(units: number, order?: OrderRules): number {
  const ledger = newLedger(order);
  const acquire = (asked: number, now: number) =>
    ledger.acquire({
      customer: "alpha",
      units: asked,
      rate: { perSecond: PER_SECOND, burst: PER_SECOND },
      version: 1,
      mostWaitMs: 75,
    }, now);
  let attempts = 0;
  let nextAt = 11_000;
  for (let now = 0; now < 60_000; now++) {
    if (now >= nextAt) {
      attempts += 1;
      const decision = acquire(units, now);
      if (decision.type === "granted") return attempts;
      nextAt = now + decision.retryAfterMs;
    }
    acquire(60, now);
  }
  return attempts;
}

test("a large request that comes back when told is granted soon, without a place of its own", () => {
  for (const units of [15_000, 30_000, 60_000]) {
    assert.ok(attemptsOfLarge(units) > 10);
    const attempts = attemptsOfLarge(units, ALL);
    assert.ok(attempts <= 5, `${attempts} attempts for ${units} units`);
  }
});

test("no room is kept for requests that need most of the window", () => {
  const small = { name: "small", factor: 3, units: 200 };
  for (const units of [LIMIT * 0.41, LIMIT * 2]) {
    const streams = [small, { name: "huge", factor: 1, units, from: 8000 }];
    const before = runSeeds(streams);
    const runs = runSeeds(streams, { order: LARGE_REQUESTS });
    assert.equal(sumOf(runs), sumOf(before));
  }
});

const streamsOf = fc.array(
  fc.record({
    factor: fc.double({ min: 0.1, max: 4, noNaN: true }),
    units: fc.integer({ min: 100, max: 40_000 }),
    priority: fc.integer({ min: 0, max: 3 }),
    returns: fc.integer({ min: 0, max: 2 }),
  }),
  { minLength: 1, maxLength: 4 },
).map((streams) =>
  streams.map((stream, index) => ({ ...stream, name: String(index) }))
);
const orders = fc.constantFrom(ALL, PRIORITIES, LARGE_REQUESTS);

test("no window exceeds the quota, whichever requests go first", () => {
  fc.assert(
    fc.property(
      streamsOf,
      orders,
      fc.boolean(),
      fc.integer(),
      (streams, order, hasPlaces, seed) => {
        const random = randomOf(seed);
        const forMs = 16_000;
        const run = runStreams(streams, { order, hasPlaces, random, forMs });
        const most = mostInWindow(run.grants, WINDOW_MS);
        assert.ok(most <= LIMIT, `${most} units in a window`);
      },
    ),
    { numRuns: 30 },
  );
});

test("below the quota nothing is refused, whichever requests go first", () => {
  const streams = [
    { name: "urgent", factor: 0.3, units: 5000, priority: 1 },
    { name: "other", factor: 0.5, units: 1000, priority: 2 },
  ];
  for (const { results } of runSeeds(streams, { order: ALL })) {
    for (const { asked, granted } of results.values()) {
      assert.equal(granted, asked);
    }
  }
});

test("requests of one priority and size are decided as without an order", () => {
  for (const hasPlaces of [false, true]) {
    for (const factor of [0.9, 1.5, 5]) {
      const streams = [
        { name: "all", factor, units: 3000, priority: 5, returns: 2 },
      ];
      const before = runSeeds(streams, { hasPlaces });
      const runs = runSeeds(streams, { hasPlaces, order: ALL });
      assert.deepEqual(
        runs.map(({ decisions }) => decisions),
        before.map(({ decisions }) => decisions),
      );
    }
  }
});

test("with both rules off, priorities and sizes change no decision", () => {
  const alike = [
    { name: "urgent", factor: 0.5, units: 5000, returns: 1 },
    { name: "other", factor: 3, units: 400, returns: 1 },
  ];
  const streams = alike.map((stream, priority) => ({ ...stream, priority }));
  const off = { priorities: false, largeRequests: false };
  for (const hasPlaces of [false, true]) {
    const before = runSeeds(alike, { hasPlaces });
    const runs = runSeeds(streams, { hasPlaces, order: off });
    assert.deepEqual(
      runs.map(({ decisions }) => decisions),
      before.map(({ decisions }) => decisions),
    );
  }
});

/** Share of the requests that came back once and were granted then. */
function returnsGranted(runs: readonly OrderRun[], name: string): number {
  const results = runs.flatMap((run) => run.results.get(name) ?? []);
  const returned = results.reduce((sum, result) => sum + result.returned, 0);
  const granted = results.reduce(
    (sum, result) => sum + result.grantedAtReturn,
    0,
  );
  return granted / returned;
}

test("urgent requests that come back when told are granted then", () => {
  const streams = [
    { name: "urgent", factor: 0.6, units: 3000, priority: 1, returns: 1 },
    { name: "other", factor: 3, units: 1000, priority: 2, returns: 1 },
  ];
  for (const hasPlaces of [false, true]) {
    const before = returnsGranted(runSeeds(streams, { hasPlaces }), "urgent");
    const options = { hasPlaces, order: ALL };
    const share = returnsGranted(runSeeds(streams, options), "urgent");
    assert.ok(share > 0.6 && share > 3 * before, `${share}, was ${before}`);
  }
});
