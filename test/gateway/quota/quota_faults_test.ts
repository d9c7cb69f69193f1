/** Tests that all hosts together stay within a quota under any faults. */
import assert from "node:assert/strict";
import * as fc from "fast-check";
import "../../fixed_seed.ts";
import { test } from "node:test";
import { type FleetRequest, QuotaFleet } from "./quota_fleet.ts";
import {
  CUSTOMER,
  killMostHosts,
  load,
  maxUnitsInWindow,
  ownersOf,
  RATE,
  START_MS,
  testFleet,
} from "./quota_load.ts";

const Faults = fc.array(
  fc.record({
    at: fc.integer({ min: 0, max: 15_000 }),
    kind: fc.constantFrom("kill", "kill-most", "cut", "heal", "freeze"),
    which: fc.integer({ min: 0, max: 11 }),
    forMs: fc.oneof(fc.integer({ min: 300, max: 4000 }), fc.constant(20_000)),
  }),
  { maxLength: 6 },
);

/** Schedules faults in a fleet of 12 hosts. */
function addFaults(
  fleet: QuotaFleet,
  faults: readonly {
    readonly at: number;
    readonly kind: string;
    readonly which: number;
    readonly forMs: number;
  }[],
): void {
  const owners = ownersOf(fleet);
  for (const { at, kind, which, forMs } of faults) {
    fleet.at(START_MS + at, () => {
      const victim = owners[which % 4] ?? "";
      if (kind === "kill") fleet.kill(victim, forMs);
      else if (kind === "freeze") fleet.freeze(victim, forMs);
      else if (kind === "heal") fleet.heal();
      else if (kind === "kill-most") killMostHosts(fleet, which, forMs);
      else fleet.cut((_id, index) => index <= which);
    });
  }
}

testFleet(
  "all hosts together stay within the limit under any kills, partitions and suspensions",
  async (newFleet) => {
    const world = fc.record({
      faults: Faults,
      factor: fc.constantFrom(1, 3, 6),
      perSecond: fc.constantFrom(RATE, 2 * RATE, 127_000),
    });
    await fc.assert(
      fc.asyncProperty(world, async ({ faults, factor, perSecond }) => {
        const fleet = newFleet(12);
        const unitsPerSecond = perSecond * factor;
        const sent = { unitsPerSecond, perSecond };
        load(fleet, START_MS, START_MS + 16_000, sent);
        addFaults(fleet, faults);
        await fleet.runTo(START_MS + 17_000);
        assert.ok(fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(perSecond));
      }),
      { numRuns: 40 },
    );
  },
);

testFleet(
  "all hosts together stay within the limit with requests of several sizes",
  async (newFleet) => {
    const world = fc.record({
      faults: Faults,
      factors: fc.tuple(
        fc.constantFrom(0.5, 2),
        fc.constantFrom(0.5, 2),
        fc.constantFrom(0.5, 2),
      ),
    });
    await fc.assert(
      fc.asyncProperty(world, async ({ faults, factors }) => {
        const fleet = newFleet(12);
        for (const [index, units] of [1500, 6000, 24_000].entries()) {
          const unitsPerSecond = RATE * (factors[index] ?? 1);
          load(fleet, START_MS, START_MS + 16_000, { unitsPerSecond, units });
        }
        addFaults(fleet, faults);
        await fleet.runTo(START_MS + 17_000);
        assert.ok(fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(RATE));
      }),
      { numRuns: 40 },
    );
  },
);

testFleet(
  "a customer that has used its limit is not granted it again as killed hosts come back",
  async (newFleet) => {
    for (const perSecond of [127_000, 400_000]) {
      const units = perSecond / 20;
      const fleet = newFleet(24);
      const sent = { unitsPerSecond: perSecond * 6, perSecond, units };
      load(fleet, START_MS, START_MS + 14_000, sent);
      fleet.at(START_MS + 3200, () => killMostHosts(fleet, 1, 400));
      await fleet.runTo(START_MS + 15_000);
      const most = fleet.maxInWindow(CUSTOMER) / maxUnitsInWindow(perSecond);
      assert.ok(most <= 1, `${most} at ${perSecond} units a second`);
    }
  },
);

testFleet(
  "the spare that one new owner gave out is not given out by the next",
  async (newFleet) => {
    for (const perSecond of [127_000, 400_000]) {
      const units = perSecond / 20;
      const fleet = newFleet(24);
      const sent = { unitsPerSecond: perSecond * 4.5, perSecond, units };
      load(fleet, START_MS, START_MS + 14_000, sent);
      // The first owner returns soon and takes over from the second one.
      fleet.at(START_MS + 4600, () => killMostHosts(fleet, 1, 300));
      await fleet.runTo(START_MS + 15_000);
      const most = fleet.maxInWindow(CUSTOMER) / maxUnitsInWindow(perSecond);
      assert.ok(most <= 1, `${most} at ${perSecond} units a second`);
    }
  },
);

testFleet(
  "hosts that are cut off do not grant again what others were granted before",
  async (newFleet) => {
    for (const perSecond of [127_000, 400_000]) {
      const units = perSecond / 20;
      const fleet = newFleet(24);
      const sent = { unitsPerSecond: perSecond * 6, perSecond, units };
      const cutAt = START_MS + 2800;
      const [owner] = ownersOf(fleet);
      const isCut = (id: string, index: number) => index < 4 || id === owner;
      // Until then all requests come to hosts on the owner's side.
      load(fleet, START_MS, cutAt, { ...sent, hosts: 4 });
      load(fleet, cutAt, START_MS + 14_000, sent);
      fleet.at(cutAt, () => fleet.cut(isCut));
      await fleet.runTo(START_MS + 15_000);
      const most = fleet.maxInWindow(CUSTOMER) / maxUnitsInWindow(perSecond);
      assert.ok(most <= 1, `${most} at ${perSecond} units a second`);
    }
  },
);

test("urgent requests go first again two seconds after the owner is killed", async () => {
  const order = { priorities: true, largeRequests: true };
  const fleet = new QuotaFleet(30, { order });
  const [owner = ""] = ownersOf(fleet);
  const killedAt = START_MS + 6000;
  const request = { customer: CUSTOMER, perSecond: RATE, units: 3000 };
  const urgent: FleetRequest[] = [];
  for (let step = 0; step < 20 * 60; step++) {
    const at = START_MS + step * 1000 / 60;
    const priority = step % 12 === 0 ? 1 : 2;
    const sent = fleet.request(at, { ...request, host: step * 7, priority });
    if (priority === 1 && at > killedAt + 2000) urgent.push(sent);
  }
  fleet.at(killedAt, () => fleet.kill(owner, 30_000));
  await fleet.runTo(START_MS + 21_000);
  const granted = urgent.filter(({ outcome }) => outcome?.type === "granted");
  assert.ok(
    granted.length >= urgent.length * 0.9,
    `${granted.length} of ${urgent.length}`,
  );
  assert.ok(fleet.maxInWindow(CUSTOMER) <= maxUnitsInWindow(RATE));
});

testFleet(
  "what the owner's own host acquired is not granted again when the owner fails",
  async (newFleet) => {
    for (const perSecond of [127_000, 400_000]) {
      for (const downMs of [500, 20_000]) {
        const fleet = newFleet(12);
        const [owner = ""] = ownersOf(fleet);
        const host = Number(owner.slice(1));
        const step = { customer: CUSTOMER, perSecond, units: perSecond / 20 };
        for (let at = START_MS; at < START_MS + 16_000; at += 17) {
          const isLater = at > START_MS + 6000;
          fleet.request(at, { ...step, host: isLater ? at : host });
        }
        fleet.at(START_MS + 6000, () => fleet.kill(owner, downMs));
        await fleet.runTo(START_MS + 17_000);
        const most = fleet.maxInWindow(CUSTOMER) / maxUnitsInWindow(perSecond);
        assert.ok(most <= 1, `${most} at ${perSecond} units a second`);
      }
    }
  },
);

testFleet(
  "an owner that was suspended does not grant what its successor granted",
  async (newFleet) => {
    for (const perSecond of [127_000, 400_000]) {
      for (const forMs of [500, 3000, 20_000]) {
        const fleet = newFleet(12);
        const owners = ownersOf(fleet).map((id) => Number(id.slice(1)));
        const step = { customer: CUSTOMER, perSecond, units: perSecond / 20 };
        const endsAt = START_MS + 2200 + forMs + 9000;
        for (let at = START_MS, count = 0; at < endsAt; at += 8, count++) {
          fleet.request(at, { ...step, host: owners[count % 2] ?? 0 });
        }
        fleet.at(
          START_MS + 2200,
          () => fleet.freeze(`h${owners[0] ?? 0}`, forMs),
        );
        await fleet.runTo(endsAt + 1000);
        const most = fleet.maxInWindow(CUSTOMER) / maxUnitsInWindow(perSecond);
        assert.ok(most <= 1, `${most} after ${forMs} ms`);
      }
    }
  },
);
