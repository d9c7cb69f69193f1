/** Tests how streams are followed over the attempts of their callers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Framing } from "../platform/response_standin.ts";
import { streamTexts } from "../platform/stream_standin.ts";
import { CallKind, type CallResult } from "./call.ts";
import { findUnresumedStreams } from "./resumed_streams.ts";
import {
  findLostStreams,
  findMixedStreams,
  findResumption,
  MIN_RESUMPTIONS,
} from "./resumptions.ts";

const HOST = "host-1";
const SENT_AT_MS = 10_000;
const ENDED_AT_MS = 10_500;

/** An attempt that got the first `events` events of the rest of its stream. */
function attempt(
  { events = 3, softwareVersion = "v1", ...rest }:
    & Partial<CallResult>
    & { readonly events?: number; readonly softwareVersion?: string },
): CallResult {
  const id = rest.id ?? "first";
  const index = (rest.resumption?.lastEvent ?? -1) + 1;
  const texts = streamTexts({ index, request: id, softwareVersion });
  return {
    id,
    kind: CallKind.resumable,
    host: HOST,
    sentAtMs: SENT_AT_MS,
    endedAtMs: ENDED_AT_MS,
    status: 200,
    seal: "",
    body: texts.slice(0, events).join(""),
    framing: Framing.chunks,
    isComplete: false,
    isAborted: false,
    ...rest,
  };
}

test("a broken stream is resumed behind its last complete event", () => {
  const broken = attempt({});
  const cutInEvent = { ...broken, body: `${broken.body}id: 3\nda` };
  const expected = { firstAttempt: "first", lastEvent: 2 };
  assert.deepEqual(findResumption(broken), expected);
  assert.deepEqual(findResumption(cutInEvent), expected);
});

test("a chain names the attempt that brought the first event", () => {
  const second = attempt({
    id: "second",
    resumption: { firstAttempt: "first", lastEvent: 2 },
  });
  const expected = { firstAttempt: "first", lastEvent: 5 };
  assert.deepEqual(findResumption(second), expected);
  const rejected = attempt({
    id: "third",
    status: 503,
    body: "",
    resumption: expected,
  });
  assert.deepEqual(findResumption(rejected), expected);
});

test("neither a complete stream nor one without events is resumed", () => {
  assert.equal(findResumption(attempt({ events: 20 })), undefined);
  assert.equal(findResumption(attempt({ events: 0 })), undefined);
  assert.equal(findResumption(attempt({ isAborted: true })), undefined);
  assert.equal(findResumption(attempt({ kind: CallKind.stream })), undefined);
});

test("events of two versions are found within and over attempts", () => {
  const resumption = { firstAttempt: "first", lastEvent: 2 };
  const same = attempt({ id: "second", resumption });
  const other = attempt({ id: "second", resumption, softwareVersion: "v2" });
  assert.deepEqual(findMixedStreams([attempt({}), same]), []);
  assert.deepEqual(findMixedStreams([attempt({}), other]), ["first: v1, v2"]);
  const [, second] = streamTexts({
    index: 0,
    request: "first",
    softwareVersion: "v2",
  });
  const within = attempt({ events: 1 });
  const body = `${within.body}${second}`;
  assert.deepEqual(findMixedStreams([{ ...within, body }]), ["first: v1, v2"]);
});

/** Streams that were begun, and resumptions of which some got no event. */
function resumedStreams(wentOn: number, count = MIN_RESUMPTIONS) {
  const firsts = Array.from(
    { length: count },
    (_, at) => attempt({ id: `first-${at}` }),
  );
  const resumed = firsts.map(({ id }, at) =>
    attempt({
      id: `${id}-r1`,
      events: at < wentOn ? 1 : 0,
      resumption: { firstAttempt: id, lastEvent: 2 },
    })
  );
  const versions = new Set(["v1"]);
  return {
    calls: [...firsts, ...resumed],
    hostFaults: [],
    servingSamples: [{ atMs: SENT_AT_MS, versions }],
  };
}

test("resumptions that go on less than half as often are found", () => {
  const half = MIN_RESUMPTIONS / 2;
  assert.equal(findUnresumedStreams(resumedStreams(half)).length, 0);
  assert.equal(findUnresumedStreams(resumedStreams(half - 1)).length, 1);
  const few = resumedStreams(0, MIN_RESUMPTIONS - 1);
  assert.equal(findUnresumedStreams(few).length, 0);
});

test("resumptions are judged only if one of them should have gone on", () => {
  const begun = (share: number) =>
    Array.from(
      { length: 100 },
      (_, at) => attempt({ id: `new-${at}`, events: at < share ? 1 : 0 }),
    );
  const lost = Array.from(
    { length: 20 },
    (_, at) => attempt({ id: `r${at}`, events: 0 }),
  );
  assert.equal(findLostStreams(lost, begun(10)).length, 1);
  assert.equal(findLostStreams(lost, begun(9)).length, 0);
});

test("resumptions don't count without their version or after a host's fault", () => {
  const lost = resumedStreams(0);
  const versions = new Set(["v2"]);
  const unserved = {
    ...lost,
    servingSamples: [{ atMs: SENT_AT_MS, versions }],
  };
  assert.equal(findUnresumedStreams(unserved).length, 0);
  const faultUntil = (toMs: number) => ({
    ...lost,
    hostFaults: [{ hosts: new Set([HOST]), fromMs: 0, toMs }],
  });
  assert.equal(findUnresumedStreams(faultUntil(SENT_AT_MS - 2999)).length, 0);
  assert.equal(findUnresumedStreams(faultUntil(SENT_AT_MS - 3001)).length, 1);
});
