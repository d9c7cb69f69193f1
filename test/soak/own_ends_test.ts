/** Guards against checks of a soak that overlook processes which end. */
import assert from "node:assert/strict";
import { pid, platform } from "node:process";
import { test } from "node:test";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import {
  findMemoryExcess,
  findOwnEnds,
  findUnansweredAtStops,
  findUnexpectedErrors,
  type HostExit,
  isEarlyHangup,
} from "./own_ends.ts";
import { peakMemoryOf } from "./peak_memory.ts";
import type { StopCall } from "./stop_callers.ts";

const EXIT: HostExit = {
  host: "host-1",
  code: null,
  signal: "SIGHUP",
  isRequested: false,
  hasBegun: true,
};
const CALL: StopCall = {
  id: "call",
  host: "host-1",
  sentAtMs: 10_000,
  endedAtMs: 10_100,
  status: 0,
  isComplete: false,
};
const ARRIVAL = {
  request: CALL.id,
  replica: "i-1",
  start: 1,
  atMs: 10_010,
  ran: true,
  fromEvent: 0,
  reportedDraining: false,
};

function playedAt(kind: FaultKind, toMs: number) {
  const fault: Fault = { kind, atMs: 0, durationMs: 0, target: 0 };
  return { fault, fromMs: toMs - 10, toMs };
}

test("a SIGHUP that ends a program which has begun is its own end", () => {
  assert.deepEqual(findOwnEnds([EXIT]), ["host-1: code null, signal SIGHUP"]);
  assert.equal(isEarlyHangup(EXIT), false);
});

test("a SIGHUP that ends Node.js before the program is counted apart", () => {
  const early = { ...EXIT, hasBegun: false };
  assert.deepEqual(findOwnEnds([early]), []);
  assert.equal(isEarlyHangup(early), true);
  const crashed = { ...early, code: 1, signal: null };
  assert.equal(findOwnEnds([crashed]).length, 1);
});

test("errors without handling are found in the logs", () => {
  const line = JSON.stringify({ event: "unexpectedError", error: "Failed" });
  const logs = new Map([["host-1", ["{}", line]]]);
  assert.deepEqual(findUnexpectedErrors(logs), [`host-1: ${line}`]);
});

test("hosts that use more memory than their setting are found", () => {
  const host = { host: "host-1", limitMb: 200 };
  assert.deepEqual(findMemoryExcess([{ ...host, peakMb: 199 }]), []);
  const found = findMemoryExcess([{ ...host, peakMb: 201 }]);
  assert.deepEqual(found, ["host-1: 201 of 200 MB"]);
});

test("the peak memory of a process is read", {
  skip: platform !== "linux",
}, () => {
  assert.ok(peakMemoryOf(pid) > 10);
});

test("a request that a stopping host has passed on needs a response", () => {
  const calm = { played: [], arrivals: [ARRIVAL] };
  assert.equal(findUnansweredAtStops([CALL], calm).length, 1);
  const whole = { ...CALL, isComplete: true };
  assert.deepEqual(findUnansweredAtStops([whole], calm), []);
  const partial = { ...CALL, sentAtMs: undefined };
  assert.deepEqual(findUnansweredAtStops([partial], calm), []);
});

test("a request that a stopping host has kept needs a response", () => {
  const calm = { played: [], arrivals: [] };
  assert.deepEqual(findUnansweredAtStops([CALL], calm), []);
  const kept = { ...CALL, endedAtMs: 12_000 };
  assert.equal(findUnansweredAtStops([kept], calm).length, 1);
});

test("only faults that interrupt requests excuse a stopping host", () => {
  const arrivals = [ARRIVAL];
  const kill = { played: [playedAt(FaultKind.kill, 9000)], arrivals };
  assert.deepEqual(findUnansweredAtStops([CALL], kill), []);
  const earlier = { played: [playedAt(FaultKind.kill, 6000)], arrivals };
  assert.equal(findUnansweredAtStops([CALL], earlier).length, 1);
  const stop = { played: [playedAt(FaultKind.stopUnderLoad, 9000)], arrivals };
  assert.equal(findUnansweredAtStops([CALL], stop).length, 1);
});
