/** Guards against ends that are read after a stall and count as just arrived. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../../src/gateway/clock.ts";
import { LoopStalls } from "../../../src/gateway/load/loop_stalls.ts";

const TICK_MS = 100;
const LONG_STALL_MS = 300;
const CATCH_UP_MS = 250;
const SHORT_STALL_MS = 50;

/** A loop whose timers fire when the test says so. */
class Loop {
  now = 0;
  #tick = () => {};
  readonly clock: Clock = {
    now: () => this.now,
    after: (_, callback) => {
      this.#tick = callback;
      return () => this.#tick = () => {};
    },
  };

  tick(delayMs = 0): void {
    this.now += TICK_MS + delayMs;
    this.#tick();
  }
}

test("a stall is known before the next tick", () => {
  const loop = new Loop();
  const stalls = new LoopStalls(loop.clock);
  stalls.start();
  loop.tick();
  loop.now += TICK_MS + LONG_STALL_MS;
  assert.equal(stalls.hasStalledSince(0), true);
  assert.equal(stalls.lastAgeMs(), 0);
  const caughtUpAt = loop.now + CATCH_UP_MS;
  // The tick that was due fires now.
  loop.tick(-TICK_MS);
  for (let ticks = 0; ticks < 5; ticks++) loop.tick();
  assert.equal(stalls.hasStalledSince(caughtUpAt + 1), false);
  assert.equal(stalls.hasStalledSince(caughtUpAt), true);
  assert.equal(stalls.lastAgeMs(), loop.now - caughtUpAt);
});

test("ticks that are a little late are no stall", () => {
  const loop = new Loop();
  const stalls = new LoopStalls(loop.clock);
  stalls.start();
  for (let ticks = 0; ticks < 10; ticks++) loop.tick(SHORT_STALL_MS);
  assert.equal(stalls.hasStalledSince(0), false);
  assert.equal(stalls.lastAgeMs(), undefined);
});

test("a loop that isn't watched has no stalls", () => {
  const loop = new Loop();
  const stalls = new LoopStalls(loop.clock);
  loop.now += LONG_STALL_MS;
  assert.equal(stalls.hasStalledSince(0), false);
  const stop = stalls.start();
  stop();
  loop.tick();
  assert.equal(stalls.hasStalledSince(0), false);
});
