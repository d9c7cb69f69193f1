/** Differences of two values, path by path. */
import { test } from "node:test";
import assert from "node:assert/strict";
import { differences, differenceText } from "../../src/operators/diff.ts";

test("what is added, changed and removed is listed by path", () => {
  const before = { a: { b: 1, c: [1, 2] }, d: "x" };
  const after = { a: { b: 2, c: [1, 2] }, e: true };
  assert.equal(
    differenceText(differences(before, after)),
    `a.b: 1 -> 2\nd: "x" -> (none)\ne: (none) -> true`,
  );
});

test("equal values have no difference", () => {
  assert.equal(
    differenceText(differences({ a: 1 }, { a: 1 })),
    "no difference",
  );
});
