/** Tests how the eras of the store are detected, and when an era is settled. */
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
  const changes: number[] = [];
  eras.listen(() => changes.push(eras.era));
  return { eras, restored, changes };
}

test("positions are ordered by their era, then by their revision", () => {
  const position = fc.record({
    era: fc.integer({ min: 0, max: 8000 }),
    revision: fc.integer({ min: 0, max: 2 ** 40 - 1 }),
  });
  fc.assert(
    fc.property(position, position, (left, right) => {
      const a = positionOf(left.era, left.revision);
      const b = positionOf(right.era, right.revision);
      assert.deepEqual([eraOf(a), revisionOf(a)], [left.era, left.revision]);
      const order = left.era - right.era || left.revision - right.revision;
      assert.equal(Math.sign(a - b), Math.sign(order));
    }),
  );
});

test("the first era that a host observes is not reported as a restore", () => {
  const { eras, restored } = start();
  eras.observe(positionOf(4, 20), 1000);
  assert.deepEqual(restored, []);
  // The era may have just begun.
  assert.equal(eras.isSettled(1000), false);
  assert.equal(eras.isUnverified(1000), true);
  eras.markSettled(4);
  assert.equal(eras.isSettled(1000), true);
  assert.equal(eras.isUnverified(1000), false);
});

test("each new era is unsettled for two seconds", () => {
  const { eras, restored, changes } = start();
  eras.observe(positionOf(1, 30), 0);
  eras.observe(positionOf(2, 10), 10_000);
  eras.observe(positionOf(3, 12), 11_500);
  assert.equal(eras.isSettled(12_500), false);
  assert.equal(eras.isSettled(13_500), true);
  assert.equal(eras.isUnverified(12_500), false);
  assert.deepEqual(changes, [2, 3]);
  assert.deepEqual(restored, [
    { name: "storeRestored", era: 2, before: 1, revision: 10, held: 30 },
    { name: "storeRestored", era: 3, before: 2, revision: 12, held: 10 },
  ]);
});

test("a late response from an earlier era changes nothing", () => {
  const { eras, changes } = start();
  eras.observe(positionOf(1, 30), 0);
  const call = eras.beginCall();
  eras.observe(positionOf(2, 10), 10);
  const late = eras.resolvePosition({ revision: 31, era: 1 }, call);
  assert.equal(eraOf(late), 1);
  eras.observe(late, 20);
  assert.equal(eras.era, 2);
  assert.deepEqual(changes, [2]);
});

test("a lower revision reveals a restore of a store that reports no era", () => {
  const { eras } = start();
  eras.observe(eras.resolvePosition({ revision: 30 }, eras.beginCall()), 0);
  const call = eras.beginCall();
  eras.observe(eras.resolvePosition({ revision: 34 }, eras.beginCall()), 10);
  // This call began before the other response arrived, so it may be older.
  assert.equal(
    eras.resolvePosition({ revision: 32 }, call),
    positionOf(0, 32),
  );
  assert.equal(
    eras.resolvePosition({ revision: 31 }, eras.beginCall()),
    positionOf(1, 31),
  );
});

test("a lower revision belongs to the next era even if the store names the same era", () => {
  const { eras } = start();
  eras.observe(positionOf(3, 30), 0);
  const position = eras.resolvePosition(
    { revision: 12, era: 3 },
    eras.beginCall(),
  );
  assert.equal(position, positionOf(4, 12));
  eras.observe(position, 10);
  const next = eras.resolvePosition({ revision: 14, era: 3 }, eras.beginCall());
  assert.equal(next, positionOf(4, 14));
  assert.deepEqual(eras.toStorePosition(next), { revision: 14, era: 3 });
});

test("a host whose era is ahead of the store's still accepts the store's responses", () => {
  const { eras } = start();
  eras.observe(positionOf(5, 0), 0);
  const position = eras.resolvePosition(
    { revision: 7, era: 1 },
    eras.beginCall(),
  );
  assert.equal(position, positionOf(5, 7));
  eras.observe(position, 1);
  assert.deepEqual(eras.toStorePosition(position), { revision: 7, era: 1 });
});
