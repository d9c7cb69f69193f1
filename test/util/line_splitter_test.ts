/** Tests the splitting of chunks into lines. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { LineSplitter } from "../../src/util/line_splitter.ts";

test("lines are the same however the text is cut into chunks", () => {
  const text = fc.string({ unit: fc.constantFrom("a", "b", "\n") });
  fc.assert(
    fc.property(fc.array(text), (chunks) => {
      const splitter = new LineSplitter(1000);
      const lines = chunks.flatMap((chunk) => splitter.push(chunk) ?? ["long"]);
      const expected = chunks.join("").split("\n").slice(0, -1);
      assert.deepEqual(lines, expected.filter((line) => line !== ""));
    }),
  );
});

test("a line that is too long is found, whether it has ended or not", () => {
  assert.deepEqual(new LineSplitter(3).push("abc\n"), ["abc"]);
  assert.equal(new LineSplitter(3).push("abcd\n"), undefined);
  assert.equal(new LineSplitter(3).push("abcd"), undefined);
  const splitter = new LineSplitter(3);
  assert.deepEqual(splitter.push("ab"), []);
  assert.equal(splitter.push("cd"), undefined);
});
