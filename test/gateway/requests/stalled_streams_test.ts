/**
 * Resumable streams that stall. Guards against a stall that is noticed late or
 * not at all, and against one that is noticed after the end of the response.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { TEST_TUNING } from "../test_tuning.ts";
import { openRelay } from "./relay_rig.ts";

const STALL_MS = TEST_TUNING.stallTimeoutMs;
const PART = Buffer.from("id: 1\ndata: x\n\n");

/** A resumable stream, and the times at which it was found to stall. */
function openStream({ isAbandoned = false } = {}) {
  const time = new VirtualTime();
  const stalledAt: number[] = [];
  const { message, relayed } = openRelay({
    resumable: true,
    replicaRates: false,
    clock: time.clock,
    abandonStalled: () => {
      stalledAt.push(time.now);
      return isAbandoned;
    },
  });
  return { time, stalledAt, message, relayed };
}

test("a stream stalls a fixed time after its last part", async () => {
  const { time, stalledAt, message } = openStream();
  for (const at of [0, 100, 100, STALL_MS, STALL_MS + 7]) {
    await time.runTo(at);
    message.emit("data", PART);
  }
  await time.runTo(2 * STALL_MS + 6);
  assert.deepEqual(stalledAt, []);
  await time.runTo(3 * STALL_MS + 7);
  assert.deepEqual(stalledAt, [2 * STALL_MS + 7, 3 * STALL_MS + 7]);
});

test("a stream stalls whenever it has been silent for that time", async () => {
  const steps = fc.array(fc.record({
    afterMs: fc.nat(3 * STALL_MS),
    kind: fc.constantFrom("data", "data", "data", "pause", "resume"),
  }));
  await fc.assert(fc.asyncProperty(steps, async (drawn) => {
    const { time, stalledAt, message } = openStream();
    const expected: number[] = [];
    let deadline = STALL_MS;
    for (const { afterMs, kind } of drawn) {
      const at = time.now + afterMs;
      for (; deadline <= at; deadline += STALL_MS) expected.push(deadline);
      await time.runTo(at);
      message.emit(kind, PART);
      deadline = kind === "pause" ? Infinity : at + STALL_MS;
    }
    assert.deepEqual(stalledAt, expected);
  }));
});

test("a stream that stalls before its first part is noticed", async () => {
  const { time, stalledAt } = openStream();
  await time.runTo(STALL_MS);
  assert.deepEqual(stalledAt, [STALL_MS]);
});

test("a stream that its caller holds up does not stall", async () => {
  const { time, stalledAt, message } = openStream();
  await time.runTo(50);
  message.emit("pause");
  await time.runTo(5 * STALL_MS);
  message.emit("resume");
  assert.deepEqual(stalledAt, []);
  await time.runTo(6 * STALL_MS);
  assert.deepEqual(stalledAt, [6 * STALL_MS]);
});

test("an abandoned stream is aborted once", async () => {
  const { time, stalledAt, message, relayed } = openStream({
    isAbandoned: true,
  });
  let aborts = 0;
  Object.assign(message, {
    destroy: () => {
      aborts += 1;
      message.emit("close");
    },
  });
  await time.runTo(3 * STALL_MS);
  await relayed;
  assert.deepEqual(stalledAt, [STALL_MS]);
  assert.equal(aborts, 1);
});

// A caller who reads the rest of an aborted response resumes it.
test("a response that is resumed after its end does not stall", async () => {
  const { time, stalledAt, message, relayed } = openStream();
  message.emit("data", PART);
  message.emit("pause");
  message.emit("close");
  await relayed;
  message.emit("resume");
  await time.runTo(2 * STALL_MS);
  assert.deepEqual(stalledAt, []);
});
