/**
 * All hosts together keep to a replica's limit, also during partitions,
 * suspensions and restarts. Requests are counted at the replica, in virtual
 * time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../../src/util/random.ts";
import { type LimitAt, LimitFleet } from "./limit_fleet.ts";

const FORMED_MS = 10_000;
const NAMED_MS = 12_000;
const END_MS = 40_000;

/** No limit before a time, then a constant one. */
function from(time: number, perSecond: number): LimitAt {
  return (at) => at >= time ? perSecond : undefined;
}

for (const size of [1, 3, 9, 30, 88]) {
  for (const perSecond of [0, 0.3, 1.4, 12]) {
    test(`${size} hosts keep to a limit of ${perSecond} requests per second, and use it`, async () => {
      const fleet = new LimitFleet(size, size, from(NAMED_MS, perSecond));
      await fleet.fleet.runTo(FORMED_MS);
      fleet.load(Math.max(3, perSecond * 3), END_MS);
      await fleet.fleet.runTo(END_MS);
      assert.deepEqual(fleet.violations(NAMED_MS), []);
      const settled = NAMED_MS + 5000;
      const limit = perSecond * (END_MS - settled) / 1000;
      const used = fleet.countIn(settled, END_MS);
      assert.ok(used > limit * 0.7, `${used} requests of ${limit}`);
      // Only responses show that a limit has ended, so a few requests are sent.
      assert.ok(used > 0);
      assert.ok(perSecond === 0 || used <= limit * 1.1 + 2);
    });
  }
}

test("a limit is used although a host stalls again and again, the owner too", async () => {
  const perSecond = 1.4;
  const size = 4;
  for (let stalling = 0; stalling < size; stalling++) {
    const fleet = new LimitFleet(size, 1, from(NAMED_MS, perSecond));
    await fleet.fleet.runTo(FORMED_MS);
    fleet.load(30, END_MS);
    const [host] = fleet.fleet.hosts.slice(stalling);
    assert.ok(host);
    for (let at = 18_000; at < END_MS; at += 3000) {
      fleet.at(at, () => fleet.fleet.suspend(host, 400));
    }
    await fleet.fleet.runTo(END_MS);
    assert.deepEqual(fleet.violations(NAMED_MS), []);
    const settled = 20_000;
    const limit = perSecond * (END_MS - settled) / 1000;
    const used = fleet.countIn(settled, END_MS);
    assert.ok(used > limit * 0.7, `${stalling}: ${used} requests of ${limit}`);
  }
});

test("hosts follow a limit that falls, rises and ends", async () => {
  const limitAt: LimitAt = (at) => {
    if (at < NAMED_MS || at >= 60_000) return undefined;
    if (at < 25_000) return 6;
    return at < 40_000 ? 1 : 4;
  };
  const fleet = new LimitFleet(9, 1, limitAt);
  await fleet.fleet.runTo(FORMED_MS);
  fleet.load(20, 70_000);
  await fleet.fleet.runTo(70_000);
  assert.deepEqual(fleet.violations(NAMED_MS), []);
  const rateIn = (start: number, end: number) =>
    fleet.countIn(start, end) / (end - start) * 1000;
  assert.ok(rateIn(17_000, 25_000) > 4);
  assert.ok(rateIn(30_000, 40_000) < 1.2);
  assert.ok(rateIn(45_000, 60_000) > 2.5);
  assert.ok(rateIn(63_000, 70_000) > 15);
});

test("requests sent just before a limit was named count against it", async () => {
  for (let seed = 1; seed <= 8; seed++) {
    const fleet = new LimitFleet(9, seed, from(NAMED_MS, 1.4));
    await fleet.fleet.runTo(FORMED_MS);
    fleet.load(12, 20_000);
    await fleet.fleet.runTo(20_000);
    // The twelve requests of the second before use up the limit at first.
    const propagated = NAMED_MS + 250;
    assert.equal(fleet.countIn(propagated, NAMED_MS + 2500), 0, `seed ${seed}`);
    assert.ok(fleet.countIn(propagated, 20_000) > 2);
  }
});

test("a new owner counts the permits that its predecessor granted", async () => {
  const perSecond = 8;
  const windowMs = 4000;
  const fleet = new LimitFleet(9, 3, from(NAMED_MS, perSecond));
  const { hosts } = fleet.fleet;
  await fleet.fleet.runTo(FORMED_MS);
  fleet.load(40, END_MS);
  // Isolates all hosts in turn, the owner included.
  for (const [index, host] of hosts.entries()) {
    const atMs = 18_000 + index * 2000;
    fleet.at(
      atMs,
      () =>
        fleet.fleet.partition((from, to) =>
          from !== to && (from === host || to === host)
        ),
    );
  }
  await fleet.fleet.runTo(END_MS);
  const highest = fleet.maxRequestsWithin(windowMs, NAMED_MS + 5000, END_MS);
  assert.ok(
    highest <= perSecond * windowMs / 1000 * 1.15,
    `${highest} requests`,
  );
});

test("a late response from before a limit was named doesn't end it", async () => {
  const limitAt = from(NAMED_MS, 1.4);
  const fleet = new LimitFleet(9, 5, limitAt);
  const ended: number[] = [];
  for (const { context: { limits } } of fleet.fleet.hosts) {
    limits.listen((updates) => {
      const hasEnded = updates.some((record) => record.perSecond === undefined);
      if (hasEnded) ended.push(fleet.fleet.now);
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

/**
 * Partitions halls and hosts, suspends hosts and starts new ones, at random.
 */
function injectFaults(fleet: LimitFleet, random: RandomGenerator): void {
  const { fleet: { hosts } } = fleet;
  const injectFault = () => {
    const [host] = hosts.slice(randomInt(random, hosts.length));
    if (!host) return;
    switch (randomInt(random, 5)) {
      case 0:
        return fleet.fleet.partition((from, to) =>
          from.entry.hall !== to.entry.hall
        );
      case 1:
        return fleet.fleet.partition((from, to) =>
          from !== to && (from === host || to === host)
        );
      case 2:
        return fleet.fleet.partition(() => false);
      case 3:
        return fleet.fleet.suspend(host, 200 + randomInt(random, 5000));
      default:
        return fleet.loadAt(fleet.add(), 1, LAST_FAULT_MS);
    }
  };
  for (let at = FORMED_MS; at < LAST_FAULT_MS; at += 1500) {
    fleet.at(at + randomInt(random, 1500), injectFault);
  }
}

/** A limit that starts, changes and ends at random times. */
function randomLimit(random: RandomGenerator): LimitAt {
  const changes: { readonly at: number; readonly rate: number | undefined }[] =
    [];
  let at = NAMED_MS;
  while (at < LONG_END_MS) {
    const hasEnded = randomInt(random, 4) === 0;
    const rate = hasEnded ? undefined : RATES[randomInt(random, RATES.length)];
    changes.push({ at, rate });
    // Some changes last for less than a second.
    at += randomInt(random, 3) === 0
      ? 300 + randomInt(random, 700)
      : 5000 + randomInt(random, 12_000);
  }
  return (time) => changes.findLast((change) => change.at <= time)?.rate;
}

for (let seed = 1; seed <= 30; seed++) {
  test(`hosts keep to limits while hosts are partitioned, suspended and started, seed ${seed}`, async () => {
    const random = xoroshiro128plus(seed);
    const limitAt = randomLimit(random);
    const fleet = new LimitFleet(9, seed, limitAt);
    await fleet.fleet.runTo(FORMED_MS);
    fleet.load(14, LAST_FAULT_MS);
    injectFaults(fleet, random);
    await fleet.fleet.runTo(LONG_END_MS);
    assert.deepEqual(fleet.violations(NAMED_MS), []);
  });
}
