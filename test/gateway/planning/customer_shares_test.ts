/**
 * One or a few customers send many times their usual load: the others must be
 * served as if those sent nothing beyond their share.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { CustomerActivity } from "../../../src/gateway/planning/customer_activity.ts";
import { fairLevel } from "../../../src/gateway/planning/fair_level.ts";
import { jainIndex, type Load, type Result, run } from "./shares_rig.ts";

/** Duration of a plain request. */
const CALL_MS = 57;
const SMALL = { tokens: 50, runMs: 1000 };

function others(perSecond: number, change: Partial<Load> = {}): Load[] {
  return Array.from(
    { length: 15 },
    (_, index) => ({ customer: `c${index}`, perSecond, ...change }),
  );
}

function hot(perSecond: number, change: Partial<Load> = {}): Load {
  return { customer: "hot", perSecond, ...change };
}

/** The sum over the customers whose names match. */
function total(results: Map<string, Result>, pattern: RegExp): Result {
  const sum = { asked: 0, refused: 0, served: 0, totalMs: 0, used: 0 };
  for (const [customer, result] of results) {
    if (!pattern.test(customer)) continue;
    sum.asked += result.asked;
    sum.refused += result.refused;
    sum.served += result.served;
    sum.totalMs += result.totalMs;
    sum.used += result.used;
  }
  return sum;
}

function meanMs({ totalMs, served }: Result): number {
  return totalMs / served;
}

/** One in a thousand may fall into a random peak of its own customer. */
function assertServedWhole({ refused, asked }: Result): void {
  assert.ok(refused <= asked / 1000, `${refused} of ${asked} refused`);
}

function assertSameSum(
  shared: Map<string, Result>,
  unshared: Map<string, Result>,
): void {
  const [used, before] = [shared, unshared].map((all) => total(all, /./).used);
  assert.ok((used ?? 0) > 0.97 * (before ?? 0), `${used} of ${before}`);
}

test("a capacity is divided max-min fairly", () => {
  const amount = fc.integer({ min: 0, max: 100 });
  const demand = fc.record({ weight: fc.integer({ min: 1, max: 9 }), amount });
  const demands = fc.array(demand, { minLength: 1, maxLength: 20 });
  fc.assert(fc.property(demands, amount, (wanted, capacity) => {
    const level = fairLevel(wanted, capacity);
    const sum = (values: readonly number[]) =>
      values.reduce((result, value) => result + value, 0);
    const asked = sum(wanted.map((each) => each.amount));
    const given = sum(
      wanted.map((each) => Math.min(each.amount, each.weight * level)),
    );
    assert.ok(Math.abs(given - Math.min(capacity, asked)) < 1e-6);
  }));
});

const PLAIN_LOADS: Record<string, Load[]> = {
  "7 times the others": [hot(280), ...others(18)],
  "50 times the others": [hot(900), ...others(18)],
  "requests 10 times as long": [
    hot(200, { runMs: 300 }),
    ...others(18, { runMs: 30 }),
  ],
  "requests in step": [
    hot(400, { inStep: 20 }),
    ...others(18, { inStep: 2 }),
  ],
};

for (const [name, loads] of Object.entries(PLAIN_LOADS)) {
  test(`a plain service serves the others whole beside a customer with ${name}`, () => {
    const shared = run({ loads, seconds: 8 });
    const rest = total(shared, /^c/);
    assertServedWhole(rest);
    const alone = total(run({ loads: loads.slice(1), seconds: 8 }), /^c/);
    const delayMs = meanMs(rest) - meanMs(alone);
    assert.ok(delayMs < (loads[0]?.runMs ?? CALL_MS), `${delayMs} ms later`);
    assertSameSum(shared, run({ loads, seconds: 8, isOff: true }));
  });
}

const MODEL_LOADS: Record<string, Load[]> = {
  "7 times the others": [hot(60, SMALL), ...others(3, SMALL)],
  "50 times the others": [hot(150, SMALL), ...others(3, SMALL)],
  "requests twice as large": [
    hot(60, { ...SMALL, tokens: 100 }),
    ...others(3, SMALL),
  ],
  "requests a third as large": [
    hot(200, { ...SMALL, tokens: 20 }),
    ...others(3, { ...SMALL, tokens: 60 }),
  ],
};

for (const [name, loads] of Object.entries(MODEL_LOADS)) {
  test(`a model pool serves the others whole beside a customer with ${name}`, () => {
    const shared = run({ loads, seconds: 15, isModel: true });
    const rest = total(shared, /^c/);
    assertServedWhole(rest);
    assert.ok(meanMs(rest) < 1.1 * SMALL.runMs, `${meanMs(rest)} ms`);
    const isOff = true;
    assertSameSum(shared, run({ loads, seconds: 15, isModel: true, isOff }));
  });
}

test("three hot customers get equal parts of what the others leave", () => {
  for (const isModel of [false, true]) {
    const size = isModel ? SMALL : {};
    const rate = isModel ? 0.2 : 1;
    const loads = [
      hot(900 * rate, size),
      hot(300 * rate, { ...size, customer: "hot2" }),
      hot(450 * rate, { ...size, customer: "hot3" }),
      ...others(10 * rate, size),
    ];
    const results = run({ loads, seconds: 12, isModel });
    const used = ["hot", "hot2", "hot3"].map((name) =>
      results.get(name)?.used ?? 0
    );
    assert.ok(jainIndex(used) > 0.95, used.join());
    assertServedWhole(total(results, /^c/));
  }
});

test("customers with weights get parts in proportion", () => {
  const weightOf = (customer: string) => customer === "hot" ? 3 : 1;
  for (const isModel of [false, true]) {
    const size = isModel ? SMALL : {};
    const rate = isModel ? 0.2 : 1;
    const loads = [
      hot(800 * rate, size),
      hot(800 * rate, { ...size, customer: "hot2" }),
    ];
    const results = run({ loads, seconds: 12, isModel, weightOf });
    const ratio = (results.get("hot")?.used ?? 0) /
      (results.get("hot2")?.used ?? 1);
    assert.ok(ratio > 2.6 && ratio < 3.4, String(ratio));
  }
});

test("a customer that was idle is not owed the past", () => {
  const loads = [hot(600), hot(600, { customer: "hot2", fromMs: 6000 })];
  const before = run({ loads, seconds: 6 });
  const results = run({ loads, seconds: 12 });
  const used = (results.get("hot")?.used ?? 0) -
    (before.get("hot")?.used ?? 0);
  const usedBySecond = results.get("hot2")?.used ?? 0;
  assert.ok(
    jainIndex([used, usedBySecond]) > 0.95,
    `${used} and ${usedBySecond}`,
  );
});

test("a hot customer of a less urgent route delays no more urgent one, and gets what those leave", () => {
  const loads = [hot(400, { priority: 2 }), ...others(18, { priority: 1 })];
  const results = run({ loads, seconds: 8 });
  assertServedWhole(total(results, /^c/));
  assert.ok((results.get("hot")?.used ?? 0) > 0.3 * total(results, /./).used);
});

test("with one customer every decision is the same as without shares", () => {
  for (const isModel of [false, true]) {
    const loads = [isModel ? hot(150, SMALL) : hot(600)];
    const on = run({ loads, seconds: 6, isModel });
    assert.deepEqual(on, run({ loads, seconds: 6, isModel, isOff: true }));
  }
});

test("nothing is held back while there is room", () => {
  const results = run({ loads: [hot(200), ...others(6)], seconds: 8 });
  assertServedWhole(total(results, /./));
});

test("a thousand customers in turn are served as without shares", () => {
  const loads = Array.from(
    { length: 1000 },
    (_, index) => ({ customer: `c${index}`, perSecond: 0.35 }),
  );
  const shared = total(run({ loads, seconds: 4 }), /./);
  const unshared = total(run({ loads, seconds: 4, isOff: true }), /./);
  assert.ok(shared.refused <= unshared.refused);
  assert.ok(shared.served >= unshared.served * 0.97);
});

test("a planner that replaces a failed one shares within a second", () => {
  const loads = [hot(500), ...others(18)];
  const rest = total(run({ loads, seconds: 8, dieAt: 3000 }), /^c/);
  assert.ok(rest.refused <= rest.asked * 0.01, `${rest.refused} refused`);
  assert.ok(meanMs(rest) < 2 * CALL_MS, `${meanMs(rest)} ms`);
});

test("two planners of one service at once refuse nobody within its share", () => {
  const loads = [hot(500), ...others(18)];
  const rest = total(run({ loads, seconds: 8, planners: 2 }), /^c/);
  assert.ok(rest.refused <= rest.asked * 0.01, `${rest.refused} refused`);
  assert.ok(meanMs(rest) < 4 * CALL_MS, `${meanMs(rest)} ms`);
});

test("an event tells when a customer is held to its share, and only for that customer", () => {
  const events: string[] = [];
  const note = (event: string) => events.push(event);
  run({ loads: [hot(600), ...others(12)], seconds: 4, note });
  assert.deepEqual(events, ["customerHeld"]);
});

test("customers that send nothing are forgotten", () => {
  const released: string[] = [];
  const activity = new CustomerActivity({
    random: () => 0,
    noteHeld: () => undefined,
    noteReleased: ({ customer }) => released.push(customer),
  });
  const base = { service: "s", priority: 1, tokens: 1 };
  for (let index = 0; index < 1000; index++) {
    activity.noteRequest({ ...base, customer: `c${index}` }, index);
  }
  activity.noteHeld({ ...base, customer: "c999" }, 1000);
  activity.noteRequest({ ...base, customer: "last" }, 10_000);
  assert.equal(activity.size, 1);
  assert.deepEqual(released, ["c999"]);
});
