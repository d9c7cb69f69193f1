/** Guards against streams whose disorder the checks at the caller miss. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { Framing } from "../platform/response_standin.ts";
import { STREAM_EVENTS, streamTexts } from "../platform/stream_standin.ts";
import { CallKind, type CallResult } from "./call.ts";
import {
  findDisorderedStreams,
  findNextAttempt,
  OrderFault,
} from "./stream_order.ts";

const TEXTS = streamTexts({ index: 0, request: "a", softwareVersion: "v1" });

function call(
  texts: readonly string[],
  fields: Partial<CallResult> = {},
): CallResult {
  return {
    id: "a",
    kind: CallKind.resumable,
    host: "host-1",
    sentAtMs: 0,
    endedAtMs: 0,
    status: 200,
    seal: "i-1.a",
    body: texts.join(""),
    framing: Framing.chunks,
    isComplete: true,
    isAborted: false,
    ...fields,
  };
}

function faultsOf(...calls: readonly CallResult[]): OrderFault[] {
  return findDisorderedStreams(calls).map(({ fault }) => fault);
}

test("a whole stream and any part of a broken one are in order", () => {
  assert.deepEqual(faultsOf(call(TEXTS)), []);
  const body = TEXTS.join("");
  for (let length = 0; length <= body.length; length++) {
    const broken = call([body.slice(0, length)], { isComplete: false });
    assert.deepEqual(faultsOf(broken), [], `${length}`);
  }
});

test("an event that is missing, repeated or of another request is found, also in a broken stream", () => {
  const [first = "", second = "", third = ""] = TEXTS;
  const other = streamTexts({ index: 1, request: "b", softwareVersion: "v1" });
  for (const isComplete of [true, false]) {
    for (
      const texts of [
        [first, third],
        [first, first],
        [first, second, first],
        [first, ...other],
      ]
    ) {
      const faults = faultsOf(call(texts, { isComplete }));
      assert.deepEqual(faults, [OrderFault.sequence]);
    }
  }
});

test("a stream that ends as complete before its last event is found", () => {
  for (let events = 0; events < STREAM_EVENTS; events++) {
    const faults = faultsOf(call(TEXTS.slice(0, events)));
    assert.deepEqual(faults, [OrderFault.truncated], `${events}`);
  }
});

test("a resumed stream that doesn't go on behind its last event is found", () => {
  const resumption = { firstAttempt: "a", lastEvent: 4 };
  const resumed = (index: number) =>
    call(streamTexts({ index, request: "b", softwareVersion: "v1" }), {
      id: "b",
      resumption,
    });
  assert.deepEqual(faultsOf(resumed(5)), []);
  assert.deepEqual(faultsOf(resumed(4)), [OrderFault.sequence]);
  assert.deepEqual(faultsOf(resumed(6)), [OrderFault.sequence]);
});

test("a stream with events of two versions over two attempts is found", () => {
  const first = call(TEXTS.slice(0, 5), { isComplete: false });
  const resumption = { firstAttempt: "a", lastEvent: 4 };
  const rest = streamTexts({ index: 5, request: "b", softwareVersion: "v2" });
  const resumed = call(rest, { id: "b", resumption });
  assert.deepEqual(faultsOf(first, resumed), [OrderFault.mixed]);
});

test("a caller that closed its connection goes on behind the last whole event", () => {
  const cut = [...TEXTS.slice(0, 3), "id: 3\nda"];
  const aborted = call(cut, { isAborted: true, isComplete: false });
  const expected = { firstAttempt: "a", lastEvent: 2 };
  assert.deepEqual(findNextAttempt(aborted), expected);
});
