/** Guards against a wrong measure of how far the event loop is behind. */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  IterationMeter,
  watchIterations,
} from "../../../src/gateway/load/iteration_meter.ts";

function startMeter() {
  const loop = { now: 1000, idleMs: 400 };
  const meter = new IterationMeter({
    now: () => loop.now,
    idleMs: () => loop.idleMs,
  });
  const wait = (ms: number) => {
    loop.now += ms;
    loop.idleMs += ms;
  };
  const work = (ms: number) => {
    loop.now += ms;
  };
  return { meter, wait, work };
}

test("the time for which the loop waits for events is no delay", () => {
  const { meter, wait, work } = startMeter();
  wait(500);
  assert.equal(meter.currentMs, 0);
  work(30);
  assert.equal(meter.currentMs, 30);
  assert.equal(meter.end(), 30);
  assert.equal(meter.currentMs, 0);
});

test("the longest iteration includes the one that goes on", () => {
  const { meter, work } = startMeter();
  work(70);
  meter.end();
  work(20);
  meter.end();
  assert.equal(meter.takeLongestMs(), 70);
  work(40);
  assert.equal(meter.takeLongestMs(), 40);
  assert.equal(meter.busyMs, 90);
});

test("watching iterations does not keep the loop from waiting", async () => {
  let iterations = 0;
  const unwatch = watchIterations(() => iterations += 1);
  await new Promise((resolve) => setTimeout(resolve, 200));
  unwatch();
  assert.ok(iterations > 0);
  // A loop that never waits has many thousands in this time.
  assert.ok(iterations < 100, `${iterations} iterations`);
});
