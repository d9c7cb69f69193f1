/** Guards against refusals by a host that only pauses or is merely busy. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LateLoop } from "../../../src/gateway/load/late_loop.ts";

function isLateAfter(iterationsMs: readonly number[]): boolean {
  const loop = new LateLoop();
  for (const busyMs of iterationsMs) loop.iterationEnded(busyMs);
  return loop.isLate;
}

test("a loop whose iterations stay long is late", () => {
  assert.ok(isLateAfter([150, 150, 150, 150]));
  assert.ok(isLateAfter([2000, 400]));
});

test("a pause of the process does not make the loop late", () => {
  assert.ok(!isLateAfter([5000]));
  assert.ok(!isLateAfter([5000, 250]));
});

test("a loop that catches up is not late", () => {
  assert.ok(!isLateAfter([400, 400, 400, 5]));
});

test("iterations as long as the pauses of a processor quota are no delay", () => {
  const quota = Array.from({ length: 200 }, () => [67, 20, 13]).flat();
  assert.ok(!isLateAfter(quota));
});
