/**
 * Scanning and splitting of events. Guards against results that depend on how a
 * stream is cut into parts, or that a faster scanner changes.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { EventScanner } from "../../../src/gateway/requests/event_scanner.ts";
import { EventSplitter } from "../../../src/gateway/requests/event_splitter.ts";
import {
  cutAt,
  cutEverywhere,
  streams,
  streamsInParts,
} from "./draw_streams.ts";
import { ReferenceScanner, ReferenceSplitter } from "./reference_scanner.ts";

const RUNS = { numRuns: 3000 };

function assertSameScan(parts: readonly Buffer[]): void {
  const scanner = new EventScanner();
  const reference = new ReferenceScanner();
  for (const part of parts) {
    scanner.push(part);
    assert.equal(scanner.endInPart, reference.push(part));
    assert.equal(scanner.events, reference.events);
    assert.equal(scanner.isInsideEvent, reference.isInsideEvent);
  }
}

function assertSameSplit(parts: readonly Buffer[]): void {
  const scanner = new EventScanner();
  const splitter = new EventSplitter();
  const reference = new ReferenceSplitter();
  let lastId: string | undefined;
  for (const part of parts) {
    scanner.push(part);
    const complete = splitter.push(part, scanner.endInPart);
    lastId = complete?.lastId ?? lastId;
    const bytes = complete?.bytes ?? Buffer.alloc(0);
    assert.deepEqual(bytes, reference.push(part));
    assert.equal(lastId, reference.lastId);
    assert.deepEqual(splitter.remainder, reference.remainder);
  }
}

test("a scan in parts of any size finds what a scan of each byte finds", () => {
  fc.assert(fc.property(streamsInParts, assertSameScan), RUNS);
});

test("a scan in single bytes finds what a scan of each byte finds", () => {
  const parts = streams.map(cutEverywhere);
  fc.assert(fc.property(parts, assertSameScan), RUNS);
});

test("a stream in parts of any size is split into the same events", () => {
  fc.assert(fc.property(streamsInParts, assertSameSplit), RUNS);
});

test("a stream in single bytes is split into the same events", () => {
  fc.assert(fc.property(streams.map(cutEverywhere), assertSameSplit), RUNS);
});

test("a stream cut in two at any place is split into the same events", () => {
  for (const lineEnd of ["\n", "\r", "\r\n"]) {
    const lines = [
      "\ufeffid: 1",
      "data: a",
      "data: b",
      "",
      ": comment",
      "",
      "",
      "id: 22",
      "event: c",
      "",
      "data: incomplete",
    ];
    const stream = Buffer.from(lines.join(lineEnd));
    for (let at = 0; at <= stream.length; at++) {
      assertSameScan(cutAt(stream, [at]));
      assertSameSplit(cutAt(stream, [at]));
    }
  }
});
