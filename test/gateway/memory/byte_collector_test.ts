/**
 * Guards against bytes that take many times their size while they are held: a
 * host ran out of memory by a response of small chunks.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { ByteCollector } from "../../../src/gateway/memory/byte_collector.ts";

const PART = fc.oneof(
  fc.uint8Array({ maxLength: 20 }),
  fc.uint8Array({ minLength: 4000, maxLength: 5000 }),
);

test("collected bytes are returned in the order of their arrival", () => {
  fc.assert(
    fc.property(fc.array(fc.array(PART)), (rounds) => {
      const collector = new ByteCollector();
      for (const parts of rounds) {
        for (const part of parts) collector.push(Buffer.from(part));
        const expected = Buffer.concat(parts);
        assert.equal(collector.length, expected.length);
        assert.deepEqual(collector.bytes(), expected);
        assert.deepEqual(Buffer.concat(collector.take()), expected);
        assert.equal(collector.length, 0);
      }
    }),
    { seed: 1 },
  );
});

test("small parts are held in few buffers", () => {
  const collector = new ByteCollector();
  for (let at = 0; at < 100_000; at++) collector.push(Buffer.from("x"));
  const parts = collector.take();
  assert.equal(Buffer.concat(parts).length, 100_000);
  assert.ok(parts.length < 20, `${parts.length} parts`);
});
