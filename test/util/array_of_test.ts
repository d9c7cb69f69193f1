/**
 * Guards against lists of invalid items whose issues take more memory than a host
 * has.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as z from "zod";
import { arrayOf } from "../../src/util/array_of.ts";

const Item = z.object({
  name: z.string(),
  size: z.number().default(1),
});

test("the items of an array are parsed in order", () => {
  const items = [{ name: "a" }, { name: "b", size: 2, other: 3 }];
  const expected = [{ name: "a", size: 1 }, { name: "b", size: 2 }];
  assert.deepEqual(arrayOf(Item).parse(items), expected);
  assert.deepEqual(arrayOf(Item).parse([]), []);
});

test("one invalid item makes an array invalid, and no other is reported", () => {
  const items = [{ name: "a" }, {}, ...Array.from({ length: 9 }, () => ({}))];
  const read = z.object({ items: arrayOf(Item) }).safeParse({ items });
  assert.equal(read.success, false);
  const paths = read.error?.issues.map(({ path }) => path);
  assert.deepEqual(paths, [["items", 1, "name"]]);
});

test("what is no array is invalid", () => {
  for (const value of [undefined, null, {}, "", 1, { length: 1 }]) {
    assert.equal(arrayOf(Item).safeParse(value).success, false);
  }
});
