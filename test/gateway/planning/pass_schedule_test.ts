/**
 * When a planner passes over its queue. Guards against ends and arrivals that
 * wait for the next pass of the interval, and against passes that take more
 * processor time than they may.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  AssignmentStage,
  type HostMessage,
} from "../../../src/gateway/planning/messages.ts";
import { PassSchedule } from "../../../src/gateway/planning/pass_schedule.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { planRequest } from "./planner_rig.ts";

const ASK: HostMessage = planRequest("r");

function progress(stage: AssignmentStage): HostMessage {
  return { type: "progress", id: "r", stage };
}

/** A schedule in virtual time, and the times of its passes. */
function start(
  { waiting, passMs = 0 }: { waiting: number; passMs?: number },
) {
  const time = new VirtualTime();
  const passes: number[] = [];
  // Passes take time, but nothing else happens in that time.
  let spentMs = 0;
  const now = () => time.now + spentMs;
  const schedule = new PassSchedule({
    clock: { now, after: (delayMs, work) => time.at(now() + delayMs, work) },
    pass: () => {
      passes.push(time.now);
      spentMs = passMs;
      queueMicrotask(() => spentMs = 0);
    },
    waiting: () => waiting,
  });
  const send = (at: number, message: HostMessage) =>
    time.at(at, () => schedule.noteMessage(message));
  return { time, passes, send };
}

test("passes at once for the first message, then at the interval while requests wait", async () => {
  const { time, passes, send } = start({ waiting: 3 });
  send(5, ASK);
  await time.runTo(50);
  assert.deepEqual(passes, [5, 25, 45]);
});

test("passes at once for each message while no request waits", async () => {
  const { time, passes, send } = start({ waiting: 0, passMs: 1 });
  for (const at of [5, 6, 7]) send(at, progress(AssignmentStage.running));
  await time.runTo(100);
  assert.deepEqual(passes, [5, 6, 7]);
});

for (
  const { name, message } of [
    { name: "an arrival", message: ASK },
    { name: "an end", message: progress(AssignmentStage.answered) },
    { name: "a prefill's end", message: progress(AssignmentStage.prefilled) },
  ]
) {
  test(`${name} while requests wait causes a pass before the interval's`, async () => {
    const { time, passes, send } = start({ waiting: 3, passMs: 0.05 });
    send(0, ASK);
    send(7, message);
    await time.runTo(30);
    assert.deepEqual(passes, [0, 7, 27.05]);
  });
}

test("a report that changes no decision waits for the interval's pass", async () => {
  const { time, passes, send } = start({ waiting: 3 });
  send(0, ASK);
  send(7, progress(AssignmentStage.running));
  await time.runTo(30);
  assert.deepEqual(passes, [0, 20]);
});

test("passes caused by messages take at most a hundredth of the time", async () => {
  const { time, passes, send } = start({ waiting: 3, passMs: 0.1 });
  for (let at = 0; at < 1000; at++) send(at, ASK);
  await time.runTo(999);
  assert.equal(passes.length, 100);
});

test("long passes are made at the interval, however many messages arrive", async () => {
  const { time, passes, send } = start({ waiting: 200, passMs: 3 });
  for (let at = 0; at < 100; at++) send(at, ASK);
  await time.runTo(99);
  assert.deepEqual(passes, [3, 26, 49, 72, 95]);
});
