/** Guards against a host that runs out of memory through its callers' bytes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import {
  ByteBudget,
  callerBytesOf,
  HeldFor,
} from "../../../src/gateway/memory/byte_budget.ts";

const URGENT = { isMostUrgent: true };
const ROUTINE = { isMostUrgent: false };

test("holds bytes up to its capacity and again after a release", () => {
  const budget = new ByteBudget(100);
  assert.equal(budget.tryHold(HeldFor.bodies, 60, URGENT), true);
  assert.equal(budget.tryHold(HeldFor.answers, 50, URGENT), false);
  budget.release(HeldFor.bodies, 60);
  assert.equal(budget.tryHold(HeldFor.answers, 50, URGENT), true);
});

test("keeps a part for the most urgent requests", () => {
  const budget = new ByteBudget(100);
  assert.equal(budget.tryHold(HeldFor.bodies, 81, ROUTINE), false);
  assert.equal(budget.tryHold(HeldFor.bodies, 80, ROUTINE), true);
  assert.equal(budget.tryHold(HeldFor.bodies, 20, URGENT), true);
});

test("heads that wait leave three quarters to others", () => {
  const budget = new ByteBudget(100);
  assert.equal(budget.tryHold(HeldFor.heads, 26, ROUTINE), false);
  assert.equal(budget.tryHold(HeldFor.heads, 25, ROUTINE), true);
  assert.equal(budget.tryHold(HeldFor.heads, 1, ROUTINE), false);
  assert.equal(budget.tryHold(HeldFor.heads, 1, URGENT), true);
});

test("never holds more than its capacity, whatever is held and released", () => {
  const step = fc.record({
    use: fc.constantFrom(HeldFor.bodies, HeldFor.answers, HeldFor.heads),
    bytes: fc.integer({ min: 0, max: 60 }),
    isMostUrgent: fc.boolean(),
    isRelease: fc.boolean(),
  });
  fc.assert(
    fc.property(fc.array(step), (steps) => {
      const budget = new ByteBudget(100);
      for (const { use, bytes, isMostUrgent, isRelease } of steps) {
        if (isRelease) budget.release(use, bytes);
        else budget.tryHold(use, bytes, { isMostUrgent });
        const held = budget.heldFor(HeldFor.bodies) +
          budget.heldFor(HeldFor.answers) + budget.heldFor(HeldFor.heads);
        assert.ok(held >= 0 && held <= 100);
      }
    }),
    { seed: 1 },
  );
});

test("the bound on callers' bytes leaves room for the program itself", () => {
  for (const megabytes of [88, 178, 200, 602]) {
    const limit = megabytes << 20;
    const bound = callerBytesOf(limit);
    const budget = new ByteBudget(bound);
    assert.equal(budget.tryHold(HeldFor.bodies, 4 << 20, ROUTINE), true);
    assert.ok(bound <= Math.max(6 << 20, (limit - (80 << 20)) / 2));
  }
  assert.equal(callerBytesOf(undefined), Infinity);
});
