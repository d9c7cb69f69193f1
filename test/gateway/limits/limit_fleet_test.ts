/**
 * All hosts together keep to a replica's limit, whatever becomes of them, in
 * virtual time; it is counted at the replica, over all hosts.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";
import { draw } from "../../../src/util/chance.ts";
import { type LimitAt, LimitFleet } from "./limit_fleet.ts";

const FORMED_MS = 10_000;
const NAMED_MS = 12_000;
const END_MS = 40_000;

/** One rate from a time on. */
function from(time: number, perSecond: number): LimitAt {
  return (at) => at >= time ? perSecond : undefined;
}

for (const size of [1, 3, 9, 30, 88]) {
  for (const perSecond of [0, 0.3, 1.4, 12]) {
    test(`${size} hosts keep to ${perSecond} a second, and use it`, async () => {
      const fleet = new LimitFleet(size, size, from(NAMED_MS, perSecond));
      await fleet.fleet.runTo(FORMED_MS);
      fleet.load(Math.max(3, perSecond * 3), END_MS);
      await fleet.fleet.runTo(END_MS);
      assert.deepEqual(fleet.excess(NAMED_MS), []);
      const settled = NAMED_MS + 5000;
      const usual = perSecond * (END_MS - settled) / 1000;
      const used = fleet.countIn(settled, END_MS);
      assert.ok(used > usual * 0.7, `${used} of ${usual}`);
      // Its answers alone tell that a limit is over.
      assert.ok(used > 0);
      assert.ok(perSecond === 0 || used <= usual * 1.1 + 2);
    });
  }
}

test("a limit that falls, rises and ends is followed", async () => {
  const limitAt: LimitAt = (at) => {
    if (at < NAMED_MS || at >= 60_000) return undefined;
    if (at < 25_000) return 6;
    return at < 40_000 ? 1 : 4;
  };
  const fleet = new LimitFleet(9, 1, limitAt);
  await fleet.fleet.runTo(FORMED_MS);
  fleet.load(20, 70_000);
  await fleet.fleet.runTo(70_000);
  assert.deepEqual(fleet.excess(NAMED_MS), []);
  const rateIn = (start: number, end: number) =>
    fleet.countIn(start, end) / (end - start) * 1000;
  assert.ok(rateIn(17_000, 25_000) > 4);
  assert.ok(rateIn(30_000, 40_000) < 1.2);
  assert.ok(rateIn(45_000, 60_000) > 2.5);
  assert.ok(rateIn(63_000, 70_000) > 15);
});

test("what was sent just before a limit was named counts against it", async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const fleet = new LimitFleet(9, seed, from(NAMED_MS, 1.4));
    await fleet.fleet.runTo(FORMED_MS);
    fleet.load(12, 20_000);
    await fleet.fleet.runTo(20_000);
    // It has got twelve within the second before, which are to leave first.
    const heard = NAMED_MS + 250;
    assert.equal(fleet.countIn(heard, NAMED_MS + 2500), 0, `seed ${seed}`);
    assert.ok(fleet.countIn(heard, 20_000) > 2);
  }
});

test("a new owner knows what the one before let through", async () => {
  const perSecond = 8;
  const windowMs = 4000;
  const fleet = new LimitFleet(9, 3, from(NAMED_MS, perSecond));
  const { hosts } = fleet.fleet;
  await fleet.fleet.runTo(FORMED_MS);
  fleet.load(40, END_MS);
  // One after the other all hosts are cut off from the rest, the owner too.
  for (const [at, host] of hosts.entries()) {
    const atMs = 18_000 + at * 2000;
    fleet.at(
      atMs,
      () =>
        fleet.fleet.cut((one, other) =>
          one !== other && (one === host || other === host)
        ),
    );
  }
  await fleet.fleet.runTo(END_MS);
  const most = fleet.mostWithin(windowMs, NAMED_MS + 5000, END_MS);
  assert.ok(most <= perSecond * windowMs / 1000 * 1.15, `${most} requests`);
});

test("an answer that was made before a limit and comes late ends nothing", async () => {
  const limitAt = from(NAMED_MS, 1.4);
  const fleet = new LimitFleet(9, 5, limitAt);
  const ended: number[] = [];
  for (const { context: { limits } } of fleet.fleet.hosts) {
    limits.listen((news) => {
      const isOver = news.some((one) => one.perSecond === undefined);
      if (isOver) ended.push(fleet.fleet.now);
    });
  }
  await fleet.fleet.runTo(FORMED_MS);
  fleet.load(60, 20_000);
  await fleet.fleet.runTo(20_000);
  assert.deepEqual(ended, []);
});

const RATES = [0.3, 1.4, 2.1, 8];
const LAST_FAULT_MS = 70_000;
const LONG_END_MS = 80_000;

/** Cuts halls and single hosts, suspends hosts and starts new ones, at random. */
function strikeAtRandom(fleet: LimitFleet, random: RandomGenerator): void {
  const { fleet: { hosts } } = fleet;
  const strike = () => {
    const [host] = hosts.slice(draw(random, hosts.length));
    if (!host) return;
    switch (draw(random, 5)) {
      case 0:
        return fleet.fleet.cut((one, other) =>
          one.entry.hall !== other.entry.hall
        );
      case 1:
        return fleet.fleet.cut((one, other) =>
          one !== other && (one === host || other === host)
        );
      case 2:
        return fleet.fleet.cut(() => false);
      case 3:
        return fleet.fleet.suspend(host, 200 + draw(random, 5000));
      default:
        return fleet.loadAt(fleet.add(), 1, LAST_FAULT_MS);
    }
  };
  for (let at = FORMED_MS; at < LAST_FAULT_MS; at += 1500) {
    fleet.at(at + draw(random, 1500), strike);
  }
}

/** A limit that changes, comes and goes at random. */
function randomLimit(random: RandomGenerator): LimitAt {
  const changes: { readonly at: number; readonly rate: number | undefined }[] =
    [];
  let at = NAMED_MS;
  while (at < LONG_END_MS) {
    const isOver = draw(random, 4) === 0;
    const rate = isOver ? undefined : RATES[draw(random, RATES.length)];
    changes.push({ at, rate });
    // Now and then it comes and goes within a second.
    at += draw(random, 3) === 0
      ? 300 + draw(random, 700)
      : 5000 + draw(random, 12_000);
  }
  return (time) => changes.findLast((one) => one.at <= time)?.rate;
}

for (let seed = 1; seed <= 30; seed++) {
  test(`limits hold while hosts are cut off, sleep and start, seed ${seed}`, async () => {
    const random = xoroshiro128plus(seed);
    const limitAt = randomLimit(random);
    const fleet = new LimitFleet(9, seed, limitAt);
    await fleet.fleet.runTo(FORMED_MS);
    fleet.load(14, LAST_FAULT_MS);
    strikeAtRandom(fleet, random);
    await fleet.fleet.runTo(LONG_END_MS);
    assert.deepEqual(fleet.excess(NAMED_MS), []);
  });
}
