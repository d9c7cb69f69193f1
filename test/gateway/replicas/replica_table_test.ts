/** Listings of replicas: what is open, and that they never go back. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import { Replica } from "../../../src/gateway/replicas/replica.ts";
import { positionOf } from "../../../src/gateway/position.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { replicaEntry } from "../replica_entry.ts";

function entry(incarnation: string, leaving = false): ReplicaEntry {
  return replicaEntry(incarnation, { leaving });
}

test("a listing older than the one in force is not taken", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 5, entries: [entry("a", true)] });
  assert.equal(table.adopt({ revision: 4, entries: [entry("a")] }), undefined);
  assert.deepEqual(table.openOf("s"), []);
});

test("a replica that leaves or is gone takes no new work", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a"), entry("b")] });
  const [a, b] = table.openOf("s");
  assert.ok(a && b);
  const change = table.adopt({ revision: 2, entries: [entry("a", true)] });
  assert.deepEqual(change?.leaving.map((one) => one.incarnation), ["a"]);
  assert.deepEqual(change?.removed.map((one) => one.incarnation), ["b"]);
  assert.equal(table.open(a), false);
  assert.equal(table.open(b), false);
});

test("what is known of a replica outlives a listing, not its restart", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a")] });
  table.get("a")?.noteFailure(0, true);
  table.adopt({ revision: 2, entries: [entry("a")] });
  assert.equal(table.get("a")?.paused(1), true);
  table.adopt({ revision: 3, entries: [entry("b")] });
  assert.equal(table.get("b")?.paused(1), false);
});

test("pauses grow with failures in a row and end with a success", () => {
  const replica = new Replica(entry("a"));
  replica.noteFailure(0, false);
  assert.equal(replica.paused(1), false);
  replica.noteFailure(0, false);
  assert.equal(replica.paused(399), true);
  assert.equal(replica.paused(400), false);
  replica.noteFailure(400, false);
  assert.equal(replica.paused(1199), true);
  replica.noteSuccess();
  assert.equal(replica.paused(401), false);
});

test("a replica that failed is tried with one call at a time", () => {
  const replica = new Replica(entry("a"));
  replica.noteTry(0);
  assert.equal(replica.paused(1), false);
  replica.noteFailure(0, true);
  assert.equal(replica.paused(400), false);
  replica.noteTry(400);
  assert.equal(replica.paused(401), true);
  assert.equal(replica.paused(900), false);
  replica.noteTry(900);
  replica.noteSuccess();
  assert.equal(replica.paused(901), false);
});

test("replicas that a listing lacks are kept only where that is asked", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a"), entry("b", true)] });
  const change = table.adopt({ revision: 2, entries: [] }, {
    keepMissing: true,
  });
  assert.deepEqual(change?.kept.map((one) => one.incarnation), ["a"]);
  assert.deepEqual(change?.removed.map((one) => one.incarnation), ["b"]);
  assert.equal(table.openOf("s").length, 1);
  table.adopt({ revision: 3, entries: [] });
  assert.deepEqual(table.openOf("s"), []);
});

test("a replica that was leaving stays so when its entry comes back", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a", true)] });
  table.adopt({ revision: 2, entries: [entry("a")] });
  assert.deepEqual(table.openOf("s"), []);
});

function started(born: number, leaving = false): ReplicaEntry {
  return replicaEntry("a", { incarnation: `a@${born}`, born, leaving });
}

test("a replica that starts again under its id is another, and takes work", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [started(1)] });
  table.get("a@1")?.noteFailure(0, true);
  table.adopt({ revision: 2, entries: [started(1, true)] });
  const change = table.adopt({ revision: 3, entries: [started(2)] });
  assert.deepEqual(change?.added.map((one) => one.incarnation), ["a@2"]);
  assert.deepEqual(change?.removed.map((one) => one.incarnation), ["a@1"]);
  assert.equal(table.get("a@1"), undefined);
  assert.equal(table.get("a@2")?.paused(1), false);
  assert.equal(table.openOf("s").length, 1);
});

test("late news of an earlier start does not undo the later one", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [started(2)] });
  table.adopt({ revision: 2, entries: [started(1, true)] });
  assert.deepEqual(table.openOf("s").map((one) => one.entry.born), [2]);
});

test("while missing replicas are kept, one that started again is not kept twice", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [started(1)] });
  const change = table.adopt({ revision: 2, entries: [started(2)] }, {
    keepMissing: true,
  });
  assert.deepEqual(change?.kept, []);
  assert.equal(table.size, 1);
});

test("a follower learns that a replica has started again", () => {
  const reader = new ReplicaTable();
  const follower = new ReplicaTable();
  reader.adopt({ revision: 1, entries: [started(1)] });
  follower.adopt({ revision: 1, entries: [started(1)] });
  reader.adopt({ revision: 2, entries: [started(2)] });
  const delta = reader.after(1);
  assert.deepEqual(delta?.gone, []);
  assert.ok(delta && follower.follow(delta) !== "gap");
  assert.deepEqual(follower.entries(), reader.entries());
});

test("changes are no base for a table that keeps what its listing lacks", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a"), entry("b")] });
  assert.equal(table.base, 1);
  table.adopt({ revision: 2, entries: [entry("a")] }, { keepMissing: true });
  assert.equal(table.base, -1);
  // As many as the other's table has, and not the same.
  const delta = { since: 2, revision: 3, changed: [], gone: [], size: 2 };
  assert.equal(table.follow(delta), "gap");
  const whole = { ...delta, since: -1, changed: [entry("a"), entry("c")] };
  assert.notEqual(table.follow(whole), "gap");
  assert.equal(table.base, 3);
  assert.equal(table.get("b"), undefined);
});

test("a replica that went in an earlier era is left out of a doubtful listing", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: positionOf(1, 5), entries: [entry("a")] });
  table.adopt({ revision: positionOf(1, 6), entries: [] });
  const copy = { revision: positionOf(2, 5), entries: [entry("a")] };
  table.adopt(copy, { leaveOutGone: true });
  assert.equal(table.get("a"), undefined);
  table.adopt({ ...copy, revision: positionOf(2, 6) });
  assert.ok(table.get("a"));
  // What went in this era and is back in it was written again.
  table.adopt({ revision: positionOf(2, 7), entries: [] });
  table.adopt({ ...copy, revision: positionOf(2, 8) }, { leaveOutGone: true });
  assert.ok(table.get("a"));
});
