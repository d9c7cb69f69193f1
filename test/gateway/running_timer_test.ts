/** Guards against timeouts that take a stall of this process for time to act. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { afterRunning } from "../../src/gateway/running_timer.ts";
import { VirtualTime } from "../fake/virtual_time.ts";

const DELAY_MS = 250;
const STALL_MS = 4000;

test("a timer fires after its delay in a process that runs", async () => {
  const time = new VirtualTime();
  const firedAt: number[] = [];
  afterRunning(time.clock, DELAY_MS, () => firedAt.push(time.now));
  await time.runTo(2 * DELAY_MS);
  assert.deepEqual(firedAt, [DELAY_MS]);
});

test("a timer that is cancelled doesn't fire", async () => {
  const time = new VirtualTime();
  const cancel = afterRunning(time.clock, DELAY_MS, () => assert.fail());
  await time.runTo(DELAY_MS / 2);
  cancel();
  await time.runTo(2 * DELAY_MS);
});

/** When a timer fires whose clock's timers are late by `delaysMs` in turn. */
async function firesAt(delaysMs: readonly number[]): Promise<number> {
  const time = new VirtualTime();
  let count = 0;
  const clock = {
    now: () => time.now,
    after: (delayMs: number, run: () => void) => {
      const lateMs = delaysMs[count] ?? delaysMs.at(-1) ?? 0;
      count += 1;
      return time.clock.after(delayMs + lateMs, run);
    },
  };
  let firedAt = Infinity;
  afterRunning(clock, DELAY_MS, () => firedAt = time.now);
  await time.runTo(100 * STALL_MS);
  return firedAt;
}

test("a timer doesn't fire at the end of a stall", async () => {
  const firstPart = await firesAt([STALL_MS, 0]);
  assert.equal(firstPart, STALL_MS + DELAY_MS);
  const lastPart = await firesAt([0, 0, 0, 0, STALL_MS, 0]);
  assert.ok(lastPart > STALL_MS + DELAY_MS, `${lastPart}`);
});

test("a timer fires in a process that stalls all the time", async () => {
  assert.ok(await firesAt([STALL_MS]) < Infinity);
});
