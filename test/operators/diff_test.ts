/** Tests of the path-by-path comparison of two values. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { diffValues, formatDifferences } from "../../src/operators/diff.ts";

test("lists added, changed and removed values by path", () => {
  const before = { a: { b: 1, c: [1, 2] }, d: "x" };
  const after = { a: { b: 2, c: [1, 2] }, e: true };
  assert.equal(
    formatDifferences(diffValues(before, after)),
    `a.b: 1 -> 2\nd: "x" -> (none)\ne: (none) -> true`,
  );
});

test("reports no difference for equal values", () => {
  assert.equal(
    formatDifferences(diffValues({ a: 1 }, { a: 1 })),
    "no difference",
  );
});
