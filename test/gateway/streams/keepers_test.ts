/** All hosts find the keepers of a record without knowing who made it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import {
  chooseKeepers,
  createFleet,
  KeeperChooser,
} from "../../../src/gateway/streams/keepers.ts";

const RANKINGS = 1024;

function hostsIn(size: number, halls: number): HostEntry[] {
  return Array.from({ length: size }, (_, at) => ({
    id: `h${at}`,
    address: `a${at}`,
    hall: `hall-${at % halls}`,
  }));
}

function choose(ranking: number, self: HostEntry, all: readonly HostEntry[]) {
  const hosts = all.filter((host) => host.id !== self.id);
  return chooseKeepers(ranking, createFleet(self, hosts));
}

const FLEET = fc.tuple(
  fc.integer({ min: 2, max: 40 }),
  fc.integer({
    min: 1,
    max: 6,
  }),
).map(([size, halls]) => hostsIn(size, halls));

test("keepers are three other hosts of different halls where there are three", () => {
  for (let ranking = 0; ranking < RANKINGS; ranking++) {
    for (const [halls, spread] of [[1, 1], [2, 2], [3, 3], [5, 3]] as const) {
      const all = hostsIn(15, halls);
      const [self] = all;
      assert.ok(self);
      const { keepers, asked } = choose(ranking, self, all);
      assert.equal(keepers.length, 3);
      assert.equal(new Set(keepers.map(({ hall }) => hall)).size, spread);
      assert.ok(!keepers.includes(self) && !asked.includes(self));
    }
  }
});

test("whoever takes a stream up asks all of its keepers", () => {
  const seeds = fc.tuple(FLEET, fc.nat(), fc.nat(), fc.nat(RANKINGS - 1));
  fc.assert(fc.property(seeds, ([all, at, other, ranking]) => {
    const origin = all[at % all.length];
    const asker = all[other % all.length];
    assert.ok(origin && asker);
    const { keepers } = choose(ranking, origin, all);
    const { asked } = choose(ranking, asker, all);
    for (const keeper of keepers) {
      assert.ok(keeper === asker || asked.includes(keeper));
    }
  }));
});

test("a host more or less on one side leaves most keepers to be found", () => {
  for (const halls of [2, 3]) {
    const all = hostsIn(9, halls);
    let found = 0;
    for (let ranking = 0; ranking < RANKINGS; ranking++) {
      const origin = all[ranking % 9];
      const asker = all[(ranking + 1 + ranking % 7) % 9];
      assert.ok(origin && asker);
      const missing = all.find((host) => host !== origin && host !== asker);
      const fewer = all.filter((host) => host !== missing);
      const { keepers } = choose(ranking, origin, all);
      const { asked } = choose(ranking, asker, fewer);
      const reverse = choose(ranking, origin, fewer).keepers;
      const askedOfAll = choose(ranking, asker, all).asked;
      const isHeld = (hosts: readonly HostEntry[], by: readonly HostEntry[]) =>
        hosts.filter((host) => host === asker || by.includes(host)).length;
      assert.ok(isHeld(keepers, asked) >= 2, `${ranking}`);
      found += isHeld(reverse, askedOfAll) >= 2 ? 1 : 0;
    }
    assert.equal(found, RANKINGS);
  }
});

test("any three of nine hosts may end at once, the origin included", () => {
  const all = hostsIn(9, 3);
  const [asker] = all;
  assert.ok(asker);
  let lost = 0;
  let total = 0;
  for (let ranking = 0; ranking < RANKINGS; ranking++) {
    for (let first = 1; first < 9; first++) {
      for (let second = first + 1; second < 9; second++) {
        for (let third = second + 1; third < 9; third++) {
          const ended = [first, second, third].map((at) => all[at]);
          const origin = ended[ranking % 3];
          assert.ok(origin);
          const { keepers } = choose(ranking, origin, all);
          const { asked } = choose(ranking, asker, all);
          const isKnown = keepers.some((host) =>
            !ended.includes(host) && (host === asker || asked.includes(host))
          );
          total += 1;
          if (!isKnown) lost += 1;
        }
      }
    }
  }
  assert.equal(lost, 0, `${lost} of ${total}`);
});

test("records spread over the fleet", () => {
  const all = hostsIn(330, 3);
  const [self] = all;
  assert.ok(self);
  const counts = new Map<string, number>();
  for (let ranking = 0; ranking < RANKINGS; ranking++) {
    for (const { id } of choose(ranking, self, all).keepers) {
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
  }
  const mean = 3 * RANKINGS / 329;
  assert.ok(Math.max(...counts.values()) < 3 * mean);
});

test("the choice is made again only when the hosts change", () => {
  const [self, ...hosts] = hostsIn(9, 3);
  assert.ok(self);
  const chooser = new KeeperChooser(self);
  const key = { service: "s", id: "a" };
  const first = chooser.of(key, hosts);
  assert.equal(chooser.of(key, hosts), first);
  const fewer = hosts.filter((host) => host !== first.keepers[0]);
  assert.ok(
    chooser.of(key, fewer).keepers.every((keeper) => fewer.includes(keeper)),
  );
});

test("a host without others has no keepers", () => {
  const [self] = hostsIn(1, 1);
  assert.ok(self);
  const none = { keepers: [], spares: [], asked: [], commonKeepers: [] };
  assert.deepEqual(chooseKeepers(0, createFleet(self, [])), none);
});
