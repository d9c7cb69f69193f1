/**
 * What the caller, the log and the planner get of a stream. Guards against
 * differences between them, and against results that depend on its parts.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import type { RelayOutcome } from "../../../src/gateway/requests/relay_outcome.ts";
import { BodyEnding } from "../../../src/gateway/upstreams/framing.ts";
import { streamsInParts } from "./draw_streams.ts";
import { ReferenceSplitter } from "./reference_scanner.ts";
import { relayStream } from "./relay_rig.ts";

const RUNS = { numRuns: 2000 };
const HEADERS = {
  declared: { "content-type": "text/event-stream" },
  assumed: {},
  no: { "content-type": "text/plain" },
};
type Kind = keyof typeof HEADERS;

/** A response, and what the reference finds in it. */
type Case = {
  readonly parts: readonly Buffer[];
  readonly kind: Kind;
  readonly resumable: boolean;
  readonly replicaRates: boolean;
  readonly ending: BodyEnding;
  readonly isConfirmed: boolean;
};

const cases: fc.Arbitrary<Case> = fc.record({
  parts: streamsInParts,
  kind: fc.constantFrom<Kind>("declared", "assumed", "no"),
  resumable: fc.boolean(),
  replicaRates: fc.boolean(),
  ending: fc.constantFrom(...Object.values(BodyEnding)),
  isConfirmed: fc.boolean(),
});

/** Splits all parts by the reference. */
function splitParts(parts: readonly Buffer[]) {
  const splitter = new ReferenceSplitter();
  const complete = Buffer.concat(parts.map((part) => splitter.push(part)));
  const { lastId, remainder, scanner: { events, isInsideEvent } } = splitter;
  return { complete, remainder, lastId, events, isInsideEvent };
}

function expectedOutcome(
  { ending, kind, resumable, isConfirmed }: Case,
  { complete, events, isInsideEvent }: ReturnType<typeof splitParts>,
): RelayOutcome {
  if (ending === BodyEnding.truncated) return "interrupted";
  if (ending === BodyEnding.complete) {
    return kind === "declared" && isInsideEvent ? "interrupted" : "complete";
  }
  const hasEvents = resumable ? complete.length > 0 : events > 0;
  const isCut = kind !== "no" && (isInsideEvent || !hasEvents);
  return isConfirmed && !isCut ? "unconfirmed" : "interrupted";
}

test("the caller, the log and the planner get the same events of a stream", async () => {
  await fc.assert(
    fc.asyncProperty(cases, async (drawn) => {
      const { parts, kind, resumable, replicaRates, ending } = drawn;
      const { outcome, written, position, logged, reports } = await relayStream(
        parts,
        {
          resumable,
          replicaRates,
          ending,
          headers: HEADERS[kind],
          confirmEnd: () => Promise.resolve(drawn.isConfirmed),
          clock: { now: () => 0, after: () => () => undefined },
        },
      );
      const split = splitParts(parts);
      assert.equal(outcome, expectedOutcome(drawn, split));
      const all = Buffer.concat(parts);
      const isCut = resumable && outcome === "interrupted";
      assert.deepEqual(Buffer.concat(written), isCut ? split.complete : all);
      assert.equal(position.lastId, resumable ? split.lastId : undefined);
      assert.equal(logged["bytes"], all.length);
      assert.equal(logged["events"], split.events);
      assert.equal(logged["inside_event"], split.isInsideEvent || undefined);
      const isStarted = replicaRates && split.events > 0;
      assert.deepEqual(reports, isStarted ? ["started"] : []);
    }),
    RUNS,
  );
});

test("of a resumable stream, each write ends at the end of an event", async () => {
  await fc.assert(
    fc.asyncProperty(streamsInParts, async (parts) => {
      const ending = BodyEnding.truncated;
      const options = { resumable: true, replicaRates: false, ending };
      const { written } = await relayStream(parts, options);
      const splitter = new ReferenceSplitter();
      const expected = parts.map((part) => splitter.push(part))
        .filter(({ length }) => length > 0);
      assert.deepEqual(written, expected);
    }),
    RUNS,
  );
});

test("the planner gets the number of events at most once a second", async () => {
  let now = 0;
  const parts = Array.from({ length: 24 }, () => Buffer.from("data: x\n\n"));
  const { reports } = await relayStream(parts, {
    resumable: false,
    replicaRates: true,
    clock: { now: () => now += 100, after: () => () => undefined },
  });
  assert.deepEqual(reports, ["started", "running 10", "running 20"]);
});
