/** Guards against a wrong measure of how far the event loop is behind. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { stat } from "node:fs";
import { test } from "node:test";
import {
  IterationMeter,
  watchIterations,
} from "../../../src/gateway/load/iteration_meter.ts";
import { loopIdleMs, monotonicNow } from "../../../src/shell/clock.ts";

/** Longer than an iteration of an idle loop. */
const WORK_MS = 100;

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

// The stop of a busy host counted from the end of the iteration.
test("an event may have come while the iteration before was busy", () => {
  const { meter, wait, work } = startMeter();
  wait(500);
  work(30);
  assert.equal(meter.maxEventAgeMs, 30);
  meter.end();
  assert.equal(meter.maxEventAgeMs, 30);
  work(5);
  assert.equal(meter.maxEventAgeMs, 35);
  meter.end();
  assert.equal(meter.maxEventAgeMs, 5);
  // The loop has waited, so the event came after that.
  wait(10);
  assert.equal(meter.maxEventAgeMs, 0);
  work(2);
  assert.equal(meter.maxEventAgeMs, 2);
});

/** Runs a callback in each phase of the event loop that a program can use. */
const PHASES: Readonly<Record<string, (work: () => void) => void>> = {
  timers: (work) => setTimeout(work, 20),
  poll: (work) => stat(".", work),
  check: (work) => setImmediate(work),
};

// A signal is handled after the work during which it came.
for (const [phase, run] of Object.entries(PHASES)) {
  test(`a signal that waits for work in the ${phase} phase came before that`, async () => {
    const meter = new IterationMeter({ now: monotonicNow, idleMs: loopIdleMs });
    const unwatch = watchIterations(() => meter.end());
    // A handler of signals doesn't keep the loop running.
    const running = setInterval(() => undefined, WORK_MS);
    const handled = once(process, "SIGUSR2").then(() => ({
      ageMs: meter.maxEventAgeMs,
      now: monotonicNow(),
    }));
    let sentAt = NaN;
    run(() => {
      sentAt = monotonicNow();
      process.kill(process.pid, "SIGUSR2");
      while (monotonicNow() < sentAt + WORK_MS);
    });
    const { ageMs, now } = await handled;
    clearInterval(running);
    unwatch();
    assert.ok(now - ageMs <= sentAt, `${now - ageMs - sentAt} ms too late`);
  });
}

test("watching iterations does not keep the loop from waiting", async () => {
  let iterations = 0;
  const unwatch = watchIterations(() => iterations += 1);
  await new Promise((resolve) => setTimeout(resolve, 200));
  unwatch();
  assert.ok(iterations > 0);
  // A loop that never waits has many thousands in this time.
  assert.ok(iterations < 100, `${iterations} iterations`);
});
