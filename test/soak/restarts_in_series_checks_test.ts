/** Guards against checks of restarts that overlook a request that was cut. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaArrival } from "../platform/replica_world.ts";
import { ConnectionEnd, Framing } from "../platform/response_standin.ts";
import { CallKind } from "./call.ts";
import {
  findFailuresElsewhere,
  findSeriesViolations,
  type SeriesRecord,
} from "./restarts_in_series_checks.ts";
import type { SeriesCall } from "./restarts_in_series_callers.ts";
import {
  drawSeries,
  Pace,
  ReplicaChange,
  Victim,
} from "./restarts_in_series_plan.ts";

const STOP_MS = 10_000;
/** When a stopping host ends its requests. */
const CUT_MS = STOP_MS + 7500;

/** A stream that is cut at the end of the grace period. */
const CUT: SeriesCall = {
  id: "call",
  kind: CallKind.stream,
  host: "host-1",
  sentAtMs: STOP_MS + 2000,
  wholeAtMs: STOP_MS + 3500,
  endedAtMs: CUT_MS,
  status: 200,
  seal: "i-1.call",
  body: "",
  framing: Framing.chunks,
  isComplete: false,
  isAborted: false,
  timeoutMs: 14_000,
};
const RUN: ReplicaArrival = {
  request: CUT.id,
  replica: "i-1",
  start: 1,
  atMs: STOP_MS + 3510,
  ran: true,
  fromEvent: 0,
  reportedDraining: false,
  endedAtMs: CUT_MS,
};

function recordOf(
  call: Partial<SeriesCall>,
  others: Partial<SeriesRecord> = {},
): SeriesRecord {
  return {
    calls: [{ ...CUT, ...call }],
    stops: [{ host: CUT.host, atMs: STOP_MS }],
    arrivals: [RUN],
    cuts: [],
    routeTimeoutMs: 12_000,
    heldUpMs: 0,
    ...others,
  };
}

function rulesOf(record: SeriesRecord): string[] {
  return findSeriesViolations(record).map(({ rule }) => rule);
}

const CUT_RULE = "hosts answer what they have read";
const FAILED_RULE = "late unsafe requests are not cut";

test("a stream that was sent late in a stop may not be cut", () => {
  assert.deepEqual(rulesOf(recordOf({})), [CUT_RULE]);
});

test("an early stream may be cut while its replica is at work at the end", () => {
  const early = { wholeAtMs: STOP_MS + 2900 };
  assert.deepEqual(rulesOf(recordOf(early)), []);
  const ended = { ...RUN, endedAtMs: STOP_MS + 6000 };
  assert.deepEqual(rulesOf(recordOf(early, { arrivals: [ended] })), [CUT_RULE]);
  const before = { ...early, endedAtMs: STOP_MS + 6000 };
  assert.deepEqual(rulesOf(recordOf(before)), [CUT_RULE]);
  const stops = [{ host: "host-2", atMs: STOP_MS }];
  assert.deepEqual(rulesOf(recordOf(early, { stops })), [CUT_RULE]);
});

test("a request that never reached a replica may only be lost soon", () => {
  const lost = { status: 0, wholeAtMs: CUT_MS - 500 };
  assert.deepEqual(rulesOf(recordOf(lost, { arrivals: [] })), []);
  const held = { status: 0, wholeAtMs: CUT_MS - 1500 };
  assert.deepEqual(rulesOf(recordOf(held, { arrivals: [] })), [CUT_RULE]);
  const stalled = { arrivals: [], heldUpMs: 600 };
  assert.deepEqual(rulesOf(recordOf(held, stalled)), []);
  assert.deepEqual(rulesOf(recordOf({}, { heldUpMs: 600 })), [CUT_RULE]);
});

test("the end of the time or of the replica excuses a cut", () => {
  assert.deepEqual(rulesOf(recordOf({ timeoutMs: 5550 })), []);
  assert.deepEqual(rulesOf(recordOf({}, { routeTimeoutMs: 5550 })), []);
  const cut = {
    request: CUT.id,
    replica: "i-1",
    framing: Framing.chunks,
    end: ConnectionEnd.fin,
    sent: "",
  };
  assert.deepEqual(rulesOf(recordOf({}, { cuts: [cut] })), []);
});

test("a late unsafe request must not end with an unknown outcome", () => {
  const failed = { status: 502, isComplete: true, kind: CallKind.unsafe };
  assert.deepEqual(rulesOf(recordOf(failed)), [FAILED_RULE]);
  const early = { ...failed, wholeAtMs: STOP_MS + 2900 };
  assert.deepEqual(rulesOf(recordOf(early)), []);
  assert.deepEqual(findFailuresElsewhere(recordOf(early)), []);
  const elsewhere = recordOf(early, { stops: [] });
  assert.equal(findFailuresElsewhere(elsewhere).length, 1);
});

test("all kinds of restarts and changes are drawn", () => {
  const actions = Array.from({ length: 20 }, (_, at) => at + 1).flatMap((
    seed,
  ) =>
    drawSeries({ seed, windowMs: 16_000 }).steps.map(({ action }) => action)
  );
  const drawn = actions.map((action) => {
    switch (action.type) {
      case "stop":
        return `${action.victim} ${action.isReplaced}`;
      case "replicas":
        return action.change;
      case "pace":
        return action.pace;
      default:
        return action.type;
    }
  });
  const expected = [
    ...Object.values(Victim).flatMap((one) => [`${one} true`, `${one} false`]),
    ...Object.values(ReplicaChange),
    ...Object.values(Pace),
    "reload",
    "config",
  ];
  assert.deepEqual([...new Set(drawn)].sort(), expected.sort());
});
