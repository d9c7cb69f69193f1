/** Which era of the store it is, and when that settles what it says. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  eraOf,
  positionOf,
  revisionOf,
} from "../../../src/gateway/position.ts";
import { StoreEras } from "../../../src/gateway/state/store_eras.ts";
import "../../fixed_seed.ts";

function start() {
  const restored: object[] = [];
  const eras = new StoreEras({
    note: (name, fields) => void restored.push({ name, ...fields }),
  });
  const heard: number[] = [];
  eras.listen(() => heard.push(eras.era));
  return { eras, restored, heard };
}

test("positions are ordered by their era, then by their revision", () => {
  const place = fc.record({
    era: fc.integer({ min: 0, max: 8000 }),
    revision: fc.integer({ min: 0, max: 2 ** 40 - 1 }),
  });
  fc.assert(
    fc.property(place, place, (one, other) => {
      const a = positionOf(one.era, one.revision);
      const b = positionOf(other.era, other.revision);
      assert.deepEqual([eraOf(a), revisionOf(a)], [one.era, one.revision]);
      const order = one.era - other.era || one.revision - other.revision;
      assert.equal(Math.sign(a - b), Math.sign(order));
    }),
  );
});

test("the first era that a host hears of is none that the store came back to", () => {
  const { eras, restored } = start();
  eras.hear(positionOf(4, 20), 1000);
  assert.deepEqual(restored, []);
  // Whether it has just begun this host can't tell.
  assert.equal(eras.isSettled(1000), false);
  assert.equal(eras.isUnproven(1000), true);
  eras.settle(4);
  assert.equal(eras.isSettled(1000), true);
  assert.equal(eras.isUnproven(1000), false);
});

test("a new era unsettles what the store says for two seconds, each anew", () => {
  const { eras, restored, heard } = start();
  eras.hear(positionOf(1, 30), 0);
  eras.hear(positionOf(2, 10), 10_000);
  eras.hear(positionOf(3, 12), 11_500);
  assert.equal(eras.isSettled(12_500), false);
  assert.equal(eras.isSettled(13_500), true);
  assert.equal(eras.isUnproven(12_500), false);
  assert.deepEqual(heard, [2, 3]);
  assert.deepEqual(restored, [
    { name: "storeRestored", era: 2, before: 1, revision: 10, held: 30 },
    { name: "storeRestored", era: 3, before: 2, revision: 12, held: 10 },
  ]);
});

test("an answer of an earlier era that comes late changes nothing", () => {
  const { eras, heard } = start();
  eras.hear(positionOf(1, 30), 0);
  const start1 = eras.start();
  eras.hear(positionOf(2, 10), 10);
  const late = eras.place({ revision: 31, era: 1 }, start1);
  assert.equal(eraOf(late), 1);
  eras.hear(late, 20);
  assert.equal(eras.era, 2);
  assert.deepEqual(heard, [2]);
});

test("a store that tells no era gives itself away by a lower revision", () => {
  const { eras } = start();
  eras.hear(eras.place({ revision: 30 }, eras.start()), 0);
  const begun = eras.start();
  eras.hear(eras.place({ revision: 34 }, eras.start()), 10);
  // Asked before the other answer was known, so it may be older than that.
  assert.equal(eras.place({ revision: 32 }, begun), positionOf(0, 32));
  assert.equal(eras.place({ revision: 31 }, eras.start()), positionOf(1, 31));
});

test("a lower revision is of the next era also where the store names the same one", () => {
  const { eras } = start();
  eras.hear(positionOf(3, 30), 0);
  const place = eras.place({ revision: 12, era: 3 }, eras.start());
  assert.equal(place, positionOf(4, 12));
  eras.hear(place, 10);
  const next = eras.place({ revision: 14, era: 3 }, eras.start());
  assert.equal(next, positionOf(4, 14));
  assert.deepEqual(eras.storePlace(next), { revision: 14, era: 3 });
});

test("a host that counted too many eras still takes what the store says", () => {
  const { eras } = start();
  eras.hear(positionOf(5, 0), 0);
  const place = eras.place({ revision: 7, era: 1 }, eras.start());
  assert.equal(place, positionOf(5, 7));
  eras.hear(place, 1);
  assert.deepEqual(eras.storePlace(place), { revision: 7, era: 1 });
});
