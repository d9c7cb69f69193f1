/** Tests how much memory reservations may fill, by what replicas report. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryPressure } from "../../../src/gateway/planning/memory_pressure.ts";

function factorAfter(rounds: number, usedShares: readonly number[]): number {
  const pressure = new MemoryPressure();
  for (let round = 0; round < rounds; round++) pressure.note("s", usedShares);
  return pressure.factor("s");
}

test("a pool with room is filled whole, also without reports", () => {
  assert.equal(new MemoryPressure().factor("s"), 1);
  assert.equal(factorAfter(50, [0.9, 0.5, 0.7]), 1);
  assert.equal(factorAfter(50, []), 1);
});

test("a pool whose replicas are full for a moment is filled whole", () => {
  const pressure = new MemoryPressure();
  for (let burst = 0; burst < 10; burst++) {
    for (const used of [1, 1, 0.8]) pressure.note("s", [used, used]);
  }
  assert.equal(pressure.factor("s"), 1);
});

test("a pool whose replicas stay full is filled less, down to a bound", () => {
  const soon = factorAfter(4, [1, 1, 1]);
  assert.ok(soon < 0.8 && soon > 0.7, String(soon));
  assert.equal(factorAfter(100, [1, 1, 1]), 0.6);
});

test("one full replica of many changes little", () => {
  const factor = factorAfter(4, [1, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8, 0.8]);
  assert.ok(factor > 0.96, String(factor));
});

test("a pool is filled again when its replicas have room", () => {
  const pressure = new MemoryPressure();
  for (let round = 0; round < 6; round++) pressure.note("s", [1]);
  assert.ok(pressure.factor("s") < 1);
  assert.equal(pressure.factor("other"), 1);
  for (let round = 0; round < 30; round++) pressure.note("s", []);
  assert.equal(pressure.factor("s"), 1);
});
