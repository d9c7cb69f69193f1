/** Tests the memory of the engine's stand-in. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { TokenMemory } from "../../deploy/standins/token_memory.ts";

test("reserved and held tokens are not given out again", () => {
  const memory = new TokenMemory(100);
  const reservation = memory.reserve(60, 1000, 0);
  assert.ok(reservation);
  assert.equal(memory.reserve(50, 1000, 0), undefined);
  assert.ok(memory.hold({ key: "run", tokens: 70, reservation }));
  assert.equal(memory.reserve(50, 1000, 0), undefined);
  memory.release("run");
  assert.ok(memory.reserve(100, 1000, 0));
});

test("a reservation expires", () => {
  const memory = new TokenMemory(100);
  memory.reserve(100, 1000, 0);
  assert.equal(memory.reserve(1, 2000, 999), undefined);
  assert.ok(memory.reserve(100, 2000, 1000));
});
