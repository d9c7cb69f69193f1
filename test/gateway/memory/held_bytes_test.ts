/**
 * Guards against bytes of responses that no budget counts: many unfinished
 * events together exceeded the memory of a host.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  ByteBudget,
  HeldFor,
} from "../../../src/gateway/memory/byte_budget.ts";
import { HeldBytes } from "../../../src/gateway/memory/held_bytes.ts";

const CAPACITY = 1000;

test("what responses hold together stays within the budget and is released", () => {
  const budget = new ByteBudget(CAPACITY);
  const first = new HeldBytes({ budget, isMostUrgent: true });
  const second = new HeldBytes({ budget, isMostUrgent: true });
  assert.equal(first.set(600), true);
  assert.equal(second.set(400), true);
  assert.equal(second.set(401), false);
  assert.equal(budget.heldFor(HeldFor.answers), CAPACITY);
  assert.equal(first.set(500), true);
  assert.equal(second.set(500), true);
  first.set(0);
  second.set(0);
  assert.equal(budget.heldFor(HeldFor.answers), 0);
});
