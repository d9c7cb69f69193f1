/** The sum over all hosts keeps to a quota, and what is below it is not refused. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import "../../fixed_seed.ts";
import { windowLimitOf } from "../../../src/gateway/quota/bounds.ts";
import { rendezvous } from "../../../src/util/rendezvous.ts";
import { orderKeyOf, shardOf } from "../../../src/gateway/quota/shards.ts";
import { BOUNDS, QuotaFleet } from "./quota_fleet.ts";

const CUSTOMER = "alpha";
const RATE = 36_000;
/** Units of a usual request. */
const UNITS = 6000;
/** Links to the owners stand by then, and all hosts have run for a window. */
const START_MS = 9000;

/** What all hosts may let through in one window. */
function mostOf(perSecond: number): number {
  const { windowMs, overshoot, tolerance } = BOUNDS;
  const inWindow = perSecond * windowMs / 1000 + perSecond;
  return inWindow * (1 + overshoot) + tolerance;
}

/** Requests at a steady rate, one after the other at all hosts. */
function load(
  fleet: QuotaFleet,
  from: number,
  to: number,
  source: {
    readonly unitsPerSecond: number;
    readonly perSecond?: number;
    readonly units?: number;
    readonly hosts?: number;
    readonly version?: number;
  },
): void {
  const { unitsPerSecond, perSecond = RATE, units = UNITS } = source;
  const stepMs = units / unitsPerSecond * 1000;
  for (let at = from, host = 0; at < to; at += stepMs, host += 7) {
    fleet.ask(at, {
      host: host % (source.hosts ?? fleet.hosts.length),
      customer: CUSTOMER,
      units,
      perSecond,
      version: source.version ?? 1,
    });
  }
}

/** More than half of the hosts are killed at once, the owner too. */
function killMany(fleet: QuotaFleet, which: number, forMs: number): void {
  const [owner = ""] = ownersOf(fleet);
  for (const [at, { id }] of fleet.hosts.entries()) {
    if ((at + which) % 5 < 3 || id === owner) fleet.kill(id, forMs);
  }
}

function counts(fleet: QuotaFleet) {
  const of = (type: string | undefined) =>
    fleet.asked.filter((one) => one.outcome?.type === type).length;
  return {
    granted: of("granted"),
    refused: of("refused"),
    unknown: of("unknown"),
    open: of(undefined),
  };
}

function ownersOf(fleet: QuotaFleet): string[] {
  return rendezvous(
    orderKeyOf(shardOf(CUSTOMER)),
    fleet.hosts.map((one) => one.id),
  );
}

for (const size of [1, 3, 88, 330]) {
  test(`a customer below its limit is never refused by ${size} hosts`, async () => {
    const fleet = new QuotaFleet(size);
    load(fleet, START_MS, START_MS + 10_000, { unitsPerSecond: RATE * 0.9 });
    await fleet.runTo(START_MS + 11_000);
    const { granted, ...others } = counts(fleet);
    assert.equal(granted, fleet.asked.length);
    assert.deepEqual(others, { refused: 0, unknown: 0, open: 0 });
  });

  test(`a customer far over its limit gets just that from ${size} hosts`, async () => {
    const fleet = new QuotaFleet(size);
    load(fleet, START_MS, START_MS + 20_000, { unitsPerSecond: RATE * 4 });
    await fleet.runTo(START_MS + 21_000);
    assert.ok(fleet.mostInWindow(CUSTOMER) <= mostOf(RATE));
    assert.ok(counts(fleet).granted * UNITS >= RATE * 20);
    const refused = fleet.asked.filter((one) =>
      one.outcome?.type === "refused"
    );
    for (const { outcome } of refused) {
      assert.ok(outcome?.type === "refused" && outcome.retryAfterMs >= 100);
      assert.ok(outcome.retryAfterMs <= BOUNDS.windowMs);
    }
  });
}

test("a customer that sends all through one host gets its whole limit", async () => {
  const fleet = new QuotaFleet(88);
  const unitsPerSecond = RATE * 0.9;
  load(fleet, START_MS, START_MS + 10_000, { unitsPerSecond, hosts: 1 });
  await fleet.runTo(START_MS + 11_000);
  assert.equal(counts(fleet).granted, fleet.asked.length);
});

test("units that a request gave back are had by the next", async () => {
  const fleet = new QuotaFleet(3);
  const perSecond = 1000;
  const take = { customer: CUSTOMER, perSecond, host: 0, mostWaitMs: 0 };
  const units = windowLimitOf({ perSecond, burst: perSecond }, BOUNDS);
  const all = fleet.ask(START_MS, { ...take, units });
  const more = fleet.ask(START_MS + 10, { ...take, units: 500 });
  fleet.at(START_MS + 20, () => {
    if (all.outcome?.type === "granted") all.outcome.giveBack();
  });
  const again = fleet.ask(START_MS + 30, { ...take, units: 500 });
  await fleet.runTo(START_MS + 100);
  assert.equal(all.outcome?.type, "granted");
  assert.equal(more.outcome?.type, "refused");
  assert.equal(again.outcome?.type, "granted");
});

test("two sides of a split fleet together let through no more", async () => {
  for (const part of [0.1, 0.33, 0.5, 0.66]) {
    const fleet = new QuotaFleet(60);
    load(fleet, START_MS, START_MS + 25_000, { unitsPerSecond: RATE * 6 });
    const isAway = (_id: string, at: number) => at < 60 * part;
    fleet.at(START_MS + 6000, () => fleet.cut(isAway));
    fleet.at(START_MS + 16_000, () => fleet.heal());
    await fleet.runTo(START_MS + 26_000);
    assert.ok(fleet.mostInWindow(CUSTOMER) <= mostOf(RATE), `part ${part}`);
    assert.ok(counts(fleet).granted * UNITS >= RATE * 18, `part ${part}`);
  }
});

test("owners that take turns know what each other gave", async () => {
  const fleet = new QuotaFleet(40);
  const owners = ownersOf(fleet);
  const perSecond = 2 * RATE;
  const sent = { unitsPerSecond: perSecond * 4, perSecond };
  load(fleet, START_MS, START_MS + 16_000, sent);
  for (const at of [6600, 10_100]) {
    fleet.at(START_MS + at, () => fleet.kill(owners[0] ?? "", 3000));
  }
  await fleet.runTo(START_MS + 17_000);
  assert.ok(fleet.mostInWindow(CUSTOMER) <= mostOf(perSecond));
});

test("a customer that has taken all does not have it again when most hosts die", async () => {
  for (const at of [1000, 2000, 3000]) {
    const fleet = new QuotaFleet(40);
    const perSecond = 2 * RATE;
    const sent = { unitsPerSecond: perSecond * 6, perSecond };
    load(fleet, START_MS, START_MS + 12_000, sent);
    fleet.at(START_MS + at, () => killMany(fleet, 1, 2000));
    await fleet.runTo(START_MS + 13_000);
    assert.ok(fleet.mostInWindow(CUSTOMER) <= mostOf(perSecond), `at ${at}`);
  }
});

test("a hall that is cut off soon has its part of the limit", async () => {
  const fleet = new QuotaFleet(60);
  const cutAt = START_MS + 1000;
  load(fleet, START_MS, START_MS + 5000, { unitsPerSecond: RATE * 0.5 });
  fleet.at(cutAt, () => fleet.cut((_id, at) => at % 3 === 0));
  await fleet.runTo(START_MS + 6000);
  const bad = fleet.asked.filter((one) => one.outcome?.type !== "granted");
  assert.ok(bad.every((one) => one.at < cutAt + 1000));
  assert.ok(bad.length <= fleet.asked.length * 0.1, String(bad.length));
});

test("an owner that is killed again and again lets through no more", async () => {
  const fleet = new QuotaFleet(30);
  const owners = ownersOf(fleet);
  load(fleet, START_MS, START_MS + 16_000, { unitsPerSecond: RATE * 6 });
  for (let at = 0; at < 12; at++) {
    const victim = owners[at % 4] ?? "";
    fleet.at(START_MS + 1500 + at * 1000, () => fleet.kill(victim, 2500));
  }
  await fleet.runTo(START_MS + 17_000);
  assert.ok(fleet.mostInWindow(CUSTOMER) <= mostOf(RATE));
  assert.ok(counts(fleet).granted * UNITS >= RATE * 10);
});

test("a customer below its limit is hardly refused while owners change", async () => {
  const fleet = new QuotaFleet(30);
  const [first = "", second = ""] = ownersOf(fleet);
  load(fleet, START_MS, START_MS + 12_000, { unitsPerSecond: RATE * 0.55 });
  fleet.at(START_MS + 3000, () => fleet.kill(first, 3000));
  fleet.at(START_MS + 5000, () => fleet.kill(second, 3000));
  await fleet.runTo(START_MS + 13_000);
  const { refused, unknown } = counts(fleet);
  assert.ok(refused + unknown <= fleet.asked.length * 0.05);
});

test("a limit that falls in a burst holds from then on", async () => {
  const fleet = new QuotaFleet(30);
  const lower = RATE / 10;
  load(fleet, START_MS, START_MS + 5000, { unitsPerSecond: RATE * 3 });
  const changedAt = START_MS + 5000;
  const rest = { unitsPerSecond: RATE * 3, perSecond: lower, version: 2 };
  load(fleet, changedAt, changedAt + 20_000, rest);
  await fleet.runTo(changedAt + 21_000);
  const before = fleet.asked.splice(0).filter((one) => one.at >= changedAt);
  fleet.asked.push(...before);
  assert.ok(fleet.mostInWindow(CUSTOMER) <= mostOf(lower));
});

test("customers who have gone quiet cost an owner nothing", async () => {
  const fleet = new QuotaFleet(1);
  for (let at = 0; at < 1000; at++) {
    const customer = `c${at}`;
    const asked = { host: 0, customer, units: 100, perSecond: RATE };
    fleet.ask(START_MS + at, asked);
  }
  for (const at of [20_000, 40_000]) {
    fleet.ask(START_MS + at, {
      host: 0,
      customer: CUSTOMER,
      units: 100,
      perSecond: RATE,
    });
  }
  await fleet.runTo(START_MS + 41_000);
  assert.ok((fleet.hosts[0]?.owner.size ?? 0) <= 1);
});

test("under any kills and cuts all hosts together keep to the limit", async () => {
  const Fault = fc.record({
    at: fc.integer({ min: 0, max: 15_000 }),
    kind: fc.constantFrom("kill", "herd", "cut", "heal"),
    which: fc.integer({ min: 0, max: 11 }),
    forMs: fc.integer({ min: 300, max: 4000 }),
  });
  const world = fc.record({
    faults: fc.array(Fault, { maxLength: 6 }),
    factor: fc.constantFrom(1, 3, 6),
    perSecond: fc.constantFrom(RATE, 2 * RATE, 127_000),
  });
  await fc.assert(
    fc.asyncProperty(world, async ({ faults, factor, perSecond }) => {
      const fleet = new QuotaFleet(12);
      const owners = ownersOf(fleet);
      const unitsPerSecond = perSecond * factor;
      const sent = { unitsPerSecond, perSecond };
      load(fleet, START_MS, START_MS + 16_000, sent);
      for (const { at, kind, which, forMs } of faults) {
        fleet.at(START_MS + at, () => {
          const victim = owners[which % 4] ?? "";
          if (kind === "kill") fleet.kill(victim, forMs);
          else if (kind === "heal") fleet.heal();
          else if (kind === "herd") killMany(fleet, which, forMs);
          else fleet.cut((_id, place) => place <= which);
        });
      }
      await fleet.runTo(START_MS + 17_000);
      assert.ok(fleet.mostInWindow(CUSTOMER) <= mostOf(perSecond));
    }),
    { numRuns: 40 },
  );
});
