/**
 * Guards against JSON texts whose values take many times their length: one that
 * has few bytes ended a host.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { countDelimiters } from "../../../src/gateway/upstreams/json_values.ts";

const SEED = 91;

/** The number of values and keys of a parsed text. */
function sizeOf(value: unknown): number {
  if (typeof value !== "object" || value === null) return 1;
  const values: unknown[] = Object.values(value);
  const keys = Array.isArray(value) ? 0 : values.length;
  return values.reduce<number>((sum, one) => sum + sizeOf(one), 1 + keys);
}

test("a text has at most twice as many values and keys as delimiters, and one more", () => {
  fc.assert(
    fc.property(fc.json(), (text) => {
      const count = countDelimiters(Buffer.from(text));
      assert.ok(sizeOf(JSON.parse(text)) <= 2 * count + 1, `${count}`);
    }),
    { seed: SEED },
  );
});

test("delimiters are counted the same however a text is divided", () => {
  fc.assert(
    fc.property(fc.json(), fc.nat(), (text, at) => {
      const bytes = Buffer.from(text);
      const middle = at % (bytes.length + 1);
      const parts = [bytes.subarray(0, middle), bytes.subarray(middle)];
      const counts = parts.map(countDelimiters);
      const sum = counts.reduce((total, count) => total + count);
      assert.equal(sum, countDelimiters(bytes));
    }),
    { seed: SEED },
  );
});
