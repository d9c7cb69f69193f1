/**
 * Tests that all hosts together stay within a quota, and refuse nothing below
 * it.
 */
import assert from "node:assert/strict";
import { windowLimitOf } from "../../../src/gateway/quota/bounds.ts";
import { BOUNDS } from "./quota_fleet.ts";
import {
  counts,
  CUSTOMER,
  killMostHosts,
  load,
  maxUnitsInWindow,
  ownersOf,
  RATE,
  REQUEST_UNITS,
  START_MS,
  testFleet,
} from "./quota_load.ts";

for (const size of [1, 3, 88, 330]) {
  testFleet(
    `a customer below its limit is never refused by ${size} hosts`,
    async (newFleet) => {
      const fleet = newFleet(size);
      load(fleet, START_MS, START_MS + 10_000, { unitsPerSecond: RATE * 0.9 });
      await fleet.runTo(START_MS + 11_000);
      const { granted, ...others } = counts(fleet);
      assert.equal(granted, fleet.requests.length);
      assert.deepEqual(others, { refused: 0, unknown: 0, open: 0 });
    },
  );

  testFleet(
    `a customer far over its limit is granted its limit by ${size} hosts`,
    async (newFleet) => {
      const fleet = newFleet(size);
      load(fleet, START_MS, START_MS + 20_000, { unitsPerSecond: RATE * 4 });
      await fleet.runTo(START_MS + 21_000);
      assert.ok(fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(RATE));
      assert.ok(counts(fleet).granted * REQUEST_UNITS >= RATE * 20);
      const refused = fleet.requests.filter((request) =>
        request.outcome?.type === "refused"
      );
      for (const { outcome } of refused) {
        assert.ok(outcome?.type === "refused" && outcome.retryAfterMs >= 100);
        assert.ok(outcome.retryAfterMs <= BOUNDS.windowMs);
      }
    },
  );
}

testFleet(
  "a customer that sends all requests to one host is granted its full limit",
  async (newFleet) => {
    const fleet = newFleet(88);
    const unitsPerSecond = RATE * 0.9;
    load(fleet, START_MS, START_MS + 10_000, { unitsPerSecond, hosts: 1 });
    await fleet.runTo(START_MS + 11_000);
    assert.equal(counts(fleet).granted, fleet.requests.length);
  },
);

testFleet(
  "units that a request released are granted to the next one",
  async (newFleet) => {
    const fleet = newFleet(3);
    const perSecond = 1000;
    const options = { customer: CUSTOMER, perSecond, host: 0, mostWaitMs: 0 };
    const units = windowLimitOf({ perSecond, burst: perSecond }, BOUNDS);
    const all = fleet.request(START_MS, { ...options, units });
    const more = fleet.request(START_MS + 10, { ...options, units: 500 });
    fleet.at(START_MS + 20, () => {
      if (all.outcome?.type === "granted") all.outcome.release();
    });
    const again = fleet.request(START_MS + 30, { ...options, units: 500 });
    await fleet.runTo(START_MS + 100);
    assert.equal(all.outcome?.type, "granted");
    assert.equal(more.outcome?.type, "refused");
    assert.equal(again.outcome?.type, "granted");
  },
);

testFleet(
  "two sides of a partition together stay within the limit",
  async (newFleet) => {
    for (const part of [0.1, 0.33, 0.5, 0.66]) {
      const fleet = newFleet(60);
      load(fleet, START_MS, START_MS + 25_000, { unitsPerSecond: RATE * 6 });
      const isCut = (_id: string, index: number) => index < 60 * part;
      fleet.at(START_MS + 6000, () => fleet.cut(isCut));
      fleet.at(START_MS + 16_000, () => fleet.heal());
      await fleet.runTo(START_MS + 26_000);
      assert.ok(
        fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(RATE),
        `part ${part}`,
      );
      assert.ok(
        counts(fleet).granted * REQUEST_UNITS >= RATE * 18,
        `part ${part}`,
      );
    }
  },
);

testFleet(
  "an owner that replaces another receives what that one granted",
  async (newFleet) => {
    const fleet = newFleet(40);
    const owners = ownersOf(fleet);
    const perSecond = 2 * RATE;
    const sent = { unitsPerSecond: perSecond * 4, perSecond };
    load(fleet, START_MS, START_MS + 16_000, sent);
    for (const at of [6600, 10_100]) {
      fleet.at(START_MS + at, () => fleet.kill(owners[0] ?? "", 3000));
    }
    await fleet.runTo(START_MS + 17_000);
    assert.ok(fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(perSecond));
  },
);

testFleet(
  "a customer that has used its limit is not granted it again when most hosts are killed",
  async (newFleet) => {
    for (const at of [1000, 2000, 3000]) {
      const fleet = newFleet(40);
      const perSecond = 2 * RATE;
      const sent = { unitsPerSecond: perSecond * 6, perSecond };
      load(fleet, START_MS, START_MS + 12_000, sent);
      fleet.at(START_MS + at, () => killMostHosts(fleet, 1, 2000));
      await fleet.runTo(START_MS + 13_000);
      assert.ok(
        fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(perSecond),
        `at ${at}`,
      );
    }
  },
);

testFleet(
  "a hall that is cut off can use its share of the limit within a second",
  async (newFleet) => {
    const fleet = newFleet(60);
    const cutAt = START_MS + 1000;
    load(fleet, START_MS, START_MS + 5000, { unitsPerSecond: RATE * 0.5 });
    fleet.at(cutAt, () => fleet.cut((_id, index) => index % 3 === 0));
    await fleet.runTo(START_MS + 6000);
    const failed = fleet.requests.filter((request) =>
      request.outcome?.type !== "granted"
    );
    assert.ok(failed.every((request) => request.at < cutAt + 1000));
    assert.ok(
      failed.length <= fleet.requests.length * 0.1,
      String(failed.length),
    );
  },
);

testFleet(
  "the limit holds while owners are killed repeatedly",
  async (newFleet) => {
    const fleet = newFleet(30);
    const owners = ownersOf(fleet);
    load(fleet, START_MS, START_MS + 16_000, { unitsPerSecond: RATE * 6 });
    for (let round = 0; round < 12; round++) {
      const victim = owners[round % 4] ?? "";
      fleet.at(START_MS + 1500 + round * 1000, () => fleet.kill(victim, 2500));
    }
    await fleet.runTo(START_MS + 17_000);
    assert.ok(fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(RATE));
    assert.ok(counts(fleet).granted * REQUEST_UNITS >= RATE * 10);
  },
);

testFleet(
  "at most 5% of the requests below the limit fail while owners change",
  async (newFleet) => {
    const fleet = newFleet(30);
    const [first = "", second = ""] = ownersOf(fleet);
    load(fleet, START_MS, START_MS + 12_000, { unitsPerSecond: RATE * 0.55 });
    fleet.at(START_MS + 3000, () => fleet.kill(first, 3000));
    fleet.at(START_MS + 5000, () => fleet.kill(second, 3000));
    await fleet.runTo(START_MS + 13_000);
    const { refused, unknown } = counts(fleet);
    assert.ok(refused + unknown <= fleet.requests.length * 0.05);
  },
);

testFleet(
  "a limit that is lowered during a burst holds from then on",
  async (newFleet) => {
    const fleet = newFleet(30);
    const lower = RATE / 10;
    load(fleet, START_MS, START_MS + 5000, { unitsPerSecond: RATE * 3 });
    const changedAt = START_MS + 5000;
    const lowered = { unitsPerSecond: RATE * 3, perSecond: lower, version: 2 };
    load(fleet, changedAt, changedAt + 20_000, lowered);
    await fleet.runTo(changedAt + 21_000);
    const later = fleet.requests.splice(0).filter((request) =>
      request.at >= changedAt
    );
    fleet.requests.push(...later);
    assert.ok(fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(lower));
  },
);

testFleet(
  "an owner removes the accounts of idle customers",
  async (newFleet) => {
    const fleet = newFleet(1);
    for (let index = 0; index < 1000; index++) {
      const customer = `c${index}`;
      const request = { host: 0, customer, units: 100, perSecond: RATE };
      fleet.request(START_MS + index, request);
    }
    for (const at of [20_000, 40_000]) {
      fleet.request(START_MS + at, {
        host: 0,
        customer: CUSTOMER,
        units: 100,
        perSecond: RATE,
      });
    }
    await fleet.runTo(START_MS + 41_000);
    assert.ok((fleet.hosts[0]?.owner.size ?? 0) <= 1);
  },
);
