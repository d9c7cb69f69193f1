/** What is recorded of the calls on a connection. */
import assert from "node:assert/strict";
import { Socket } from "node:net";
import { test } from "node:test";
import {
  noteCarriedCall,
  noteResponseId,
} from "../../../src/gateway/upstreams/carried_calls.ts";

test("a connection's calls are counted, and a repeated id is recognized", () => {
  const socket = new Socket();
  const first = noteCarriedCall(socket, "a");
  assert.deepEqual([first.count, first.hasSameId], [0, false]);
  assert.equal(noteCarriedCall(socket, "b").hasSameId, false);
  const third = noteCarriedCall(socket, "a");
  assert.deepEqual([third.count, third.hasSameId], [2, true]);
  assert.equal(third.connection, first.connection);
});

test("calls without an id are counted, and resemble no other", () => {
  const socket = new Socket();
  noteCarriedCall(socket, undefined);
  const { count, hasSameId } = noteCarriedCall(socket, undefined);
  assert.deepEqual([count, hasSameId], [1, false]);
});

test("each connection has its own record", () => {
  const one = noteCarriedCall(new Socket(), "a");
  const other = noteCarriedCall(new Socket(), "a");
  assert.equal(other.count, 0);
  assert.equal(other.hasSameId, false);
  assert.notEqual(other.connection, one.connection);
});

test("the ids that are kept of a connection are bounded", () => {
  const socket = new Socket();
  const calls = 1000;
  for (let call = 0; call < calls; call++) noteCarriedCall(socket, `${call}`);
  assert.equal(noteCarriedCall(socket, `${calls - 1}`).hasSameId, true);
  assert.equal(noteCarriedCall(socket, "0").hasSameId, false);
});

test("an id in a response is new once on its connection", () => {
  const socket = new Socket();
  noteCarriedCall(socket, undefined);
  assert.equal(noteResponseId(socket, "a"), true);
  assert.equal(noteResponseId(socket, "a"), false);
  assert.equal(noteResponseId(socket, "b"), true);
});
