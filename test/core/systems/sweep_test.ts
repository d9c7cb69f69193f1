/** What an upstream holds for nobody is cancelled, and nothing else. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { createWorld, type Order, step } from "../../../src/core/mod.ts";
import { hostListOf, smallLayout } from "../../fake/layout.ts";

function cancelledOf(attempts: readonly string[]): string[] {
  const world = createWorld({
    self: { id: "brest-1", hall: "brest", region: "region", incarnation: 5 },
    seed: 1,
  });
  const list = { revision: 1, entries: hostListOf(smallLayout()) };
  step(world, [{ type: "hostList", list }, { type: "tick" }], 0);
  const held = { type: "heldList" as const, upstream: "d-brest", attempts };
  const orders: readonly Order[] = step(world, [held], 10);
  return orders.flatMap((one) => one.type === "cancel" ? [one.attempt] : []);
}

test("attempts of a host that is gone or has restarted are cancelled", () => {
  const gone = "old-host/1/7/1";
  const before = "brest-1/4/7/1";
  assert.deepEqual(cancelledOf([gone, before]), [gone, before]);
});

test("what this host does not know any more is cancelled", () => {
  assert.deepEqual(cancelledOf(["brest-1/5/7/1"]), ["brest-1/5/7/1"]);
});

test("what others hold there is left alone", () => {
  assert.deepEqual(cancelledOf(["bench-1", "cmpl-9f/a", ""]), []);
});

test("a live owner is asked first", () => {
  assert.deepEqual(cancelledOf(["quimper-1/1/7/1"]), []);
});
