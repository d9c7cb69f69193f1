/** Work that an upstream does one after the other. */
import { test } from "node:test";
import assert from "node:assert/strict";
import {
  backlog,
  emptyLine,
  joinLine,
  leaveLine,
} from "../../../src/core/systems/line.ts";

test("time passed counts against the oldest work only", () => {
  const line = emptyLine();
  joinLine(line, "a", 100, 0);
  joinLine(line, "b", 50, 0);
  assert.equal(backlog(line, 10, 5), 100);
  assert.equal(backlog(line, 10, 1000), 50);
});

test("the next becomes the oldest when the oldest leaves", () => {
  const line = emptyLine();
  joinLine(line, "a", 100, 0);
  joinLine(line, "b", 50, 0);
  leaveLine(line, "a", 20);
  assert.equal(backlog(line, 10, 22), 30);
  leaveLine(line, "b", 22);
  assert.equal(backlog(line, 10, 30), 0);
});
