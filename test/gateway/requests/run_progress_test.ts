/**
 * Reports of runs in progress. Guards against responses that the measurement
 * changes, and against times that are the caller's rather than the replica's.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { EventScanner } from "../../../src/gateway/requests/event_scanner.ts";
import { RunProgress } from "../../../src/gateway/requests/run_progress.ts";

const STREAM = [
  "id: 1\ndata: a\n\n",
  "id: 2\r\ndata: b\r\n\r\n",
  "\n\n: comment\n\n",
  "data: c\ndata: d\n\n",
  "data: incomplete\n",
].join("");

test("events are counted whatever the parts of the stream are", () => {
  const cuts = fc.array(fc.nat(STREAM.length));
  fc.assert(fc.property(cuts, (positions) => {
    const all = Buffer.from(STREAM);
    const offsets = [0, ...positions.sort((a, b) => a - b), all.length];
    const counter = new EventScanner();
    for (let at = 1; at < offsets.length; at++) {
      counter.push(all.subarray(offsets[at - 1], offsets[at]));
    }
    assert.equal(counter.events, 4);
  }));
});

/** A run whose events arrive every `eventMs`, and its reports. */
function run(eventMs: number, events: number, heldUpAt = Infinity) {
  let now = 1000;
  const reports: unknown[] = [];
  const progress = new RunProgress({
    clock: { now: () => now },
    sentAt: 800,
    started: (firstEventMs) => void reports.push({ firstEventMs }),
    running: (report) => void reports.push(report),
    heldUp: () => void reports.push("held up"),
  });
  for (let event = 0; event < events; event++) {
    if (event >= heldUpAt) progress.heldUp();
    progress.received(event + 1);
    now += eventMs;
  }
  return { reports, summary: progress.summary };
}

test("a run reports its first event and its progress once a second", () => {
  const { reports, summary } = run(100, 31);
  assert.deepEqual(reports, [
    { firstEventMs: 200 },
    { events: 10, runMs: 1000 },
    { events: 20, runMs: 2000 },
    { events: 30, runMs: 3000 },
  ]);
  assert.deepEqual(summary, { events: 30, runMs: 3000 });
});

test("a short run reports only its first event and its end", () => {
  const { reports, summary } = run(10, 70);
  assert.deepEqual(reports, [{ firstEventMs: 200 }]);
  assert.deepEqual(summary, { events: 69, runMs: 690 });
});

test("a run that its caller holds up reports no more times", () => {
  const { reports, summary } = run(100, 31, 15);
  assert.deepEqual(reports, [
    { firstEventMs: 200 },
    { events: 10, runMs: 1000 },
    "held up",
  ]);
  assert.deepEqual(summary, {});
});
