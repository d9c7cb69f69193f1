/** The replica table: adopting listings and deltas, draining, pauses. */
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

test("a listing older than the table is not adopted", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 5, entries: [entry("a", true)] });
  assert.equal(table.adopt({ revision: 4, entries: [entry("a")] }), undefined);
  assert.deepEqual(table.openReplicasOf("s"), []);
});

test("a draining or removed replica accepts no new requests", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a"), entry("b")] });
  const [a, b] = table.openReplicasOf("s");
  assert.ok(a && b);
  const change = table.adopt({ revision: 2, entries: [entry("a", true)] });
  assert.deepEqual(change?.draining.map((replica) => replica.incarnation), [
    "a",
  ]);
  assert.deepEqual(change?.removed.map((replica) => replica.incarnation), [
    "b",
  ]);
  assert.equal(table.isOpen(a), false);
  assert.equal(table.isOpen(b), false);
});

test("the state of a replica is kept over listings but not over a restart", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a")] });
  table.get("a")?.noteFailure(0, true);
  table.adopt({ revision: 2, entries: [entry("a")] });
  assert.equal(table.get("a")?.isPaused(1), true);
  table.adopt({ revision: 3, entries: [entry("b")] });
  assert.equal(table.get("b")?.isPaused(1), false);
});

test("pauses grow with consecutive failures and end with a success", () => {
  const replica = new Replica(entry("a"));
  replica.noteFailure(0, false);
  assert.equal(replica.isPaused(1), false);
  replica.noteFailure(0, false);
  assert.equal(replica.isPaused(399), true);
  assert.equal(replica.isPaused(400), false);
  replica.noteFailure(400, false);
  assert.equal(replica.isPaused(1199), true);
  replica.noteSuccess();
  assert.equal(replica.isPaused(401), false);
});

test("a replica that failed gets one trial call at a time", () => {
  const replica = new Replica(entry("a"));
  replica.noteTrial(0);
  assert.equal(replica.isPaused(1), false);
  replica.noteFailure(0, true);
  assert.equal(replica.isPaused(400), false);
  replica.noteTrial(400);
  assert.equal(replica.isPaused(401), true);
  assert.equal(replica.isPaused(900), false);
  replica.noteTrial(900);
  replica.noteSuccess();
  assert.equal(replica.isPaused(901), false);
});

test("missing replicas are retained only with retainMissing", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a"), entry("b", true)] });
  const change = table.adopt({ revision: 2, entries: [] }, {
    retainMissing: true,
  });
  assert.deepEqual(change?.retained.map((replica) => replica.incarnation), [
    "a",
  ]);
  assert.deepEqual(change?.removed.map((replica) => replica.incarnation), [
    "b",
  ]);
  assert.equal(table.openReplicasOf("s").length, 1);
  table.adopt({ revision: 3, entries: [] });
  assert.deepEqual(table.openReplicasOf("s"), []);
});

test("a draining replica stays draining when it is listed as ready again", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a", true)] });
  table.adopt({ revision: 2, entries: [entry("a")] });
  assert.deepEqual(table.openReplicasOf("s"), []);
});

function startedEntry(born: number, leaving = false): ReplicaEntry {
  return replicaEntry("a", { incarnation: `a@${born}`, born, leaving });
}

test("a replica restarted under its id is a new replica and accepts requests", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [startedEntry(1)] });
  table.get("a@1")?.noteFailure(0, true);
  table.adopt({ revision: 2, entries: [startedEntry(1, true)] });
  const change = table.adopt({ revision: 3, entries: [startedEntry(2)] });
  assert.deepEqual(change?.added.map((replica) => replica.incarnation), [
    "a@2",
  ]);
  assert.deepEqual(change?.removed.map((replica) => replica.incarnation), [
    "a@1",
  ]);
  assert.equal(table.get("a@1"), undefined);
  assert.equal(table.get("a@2")?.isPaused(1), false);
  assert.equal(table.openReplicasOf("s").length, 1);
});

test("a late entry of an earlier start does not replace the later one", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [startedEntry(2)] });
  table.adopt({ revision: 2, entries: [startedEntry(1, true)] });
  assert.deepEqual(
    table.openReplicasOf("s").map((replica) => replica.entry.born),
    [2],
  );
});

test("with retainMissing, the predecessor of a restarted replica is not retained", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [startedEntry(1)] });
  const change = table.adopt({ revision: 2, entries: [startedEntry(2)] }, {
    retainMissing: true,
  });
  assert.deepEqual(change?.retained, []);
  assert.equal(table.size, 1);
});

test("a delta reports a restarted replica", () => {
  const reader = new ReplicaTable();
  const follower = new ReplicaTable();
  reader.adopt({ revision: 1, entries: [startedEntry(1)] });
  follower.adopt({ revision: 1, entries: [startedEntry(1)] });
  reader.adopt({ revision: 2, entries: [startedEntry(2)] });
  const delta = reader.deltaSince(1);
  assert.deepEqual(delta?.gone, []);
  assert.ok(delta && follower.applyDelta(delta) !== "gap");
  assert.deepEqual(follower.entries(), reader.entries());
});

test("a table with retained replicas needs a full listing", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a"), entry("b")] });
  assert.equal(table.deltaBase, 1);
  table.adopt({ revision: 2, entries: [entry("a")] }, { retainMissing: true });
  assert.equal(table.deltaBase, -1);
  // The number of replicas matches, their ids don't.
  const delta = { since: 2, revision: 3, changed: [], gone: [], size: 2 };
  assert.equal(table.applyDelta(delta), "gap");
  const full = { ...delta, since: -1, changed: [entry("a"), entry("c")] };
  assert.notEqual(table.applyDelta(full), "gap");
  assert.equal(table.deltaBase, 3);
  assert.equal(table.get("b"), undefined);
});

test("an inexact table is no base for changes and sends none", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [entry("a"), entry("b")] });
  table.adopt({ revision: 2, entries: [entry("a")] }, { retainMissing: true });
  assert.equal(table.isExact, false);
  assert.equal(table.deltaSince(1), undefined);
  const changes = { since: 2, revision: 3, changed: [], gone: [] };
  assert.equal(table.applyChanges(changes), undefined);
  table.adopt({ revision: 2, entries: [entry("a")] });
  assert.equal(table.isExact, true);
  assert.deepEqual(table.deltaSince(1)?.gone, ["b"]);
});

test("an inexact listing replaces an older one, but no exact one of its position", () => {
  const table = new ReplicaTable();
  const entries = [entry("a"), entry("b")];
  table.adopt({ revision: 2, entries: [entry("a")] });
  const isInexact = true;
  assert.equal(table.adopt({ revision: 2, entries, isInexact }), undefined);
  assert.equal(table.size, 1);
  assert.ok(table.adopt({ revision: 3, entries, isInexact }));
  assert.equal(table.size, 2);
  assert.equal(table.deltaBase, -1);
});

test("with excludeRemoved, a replica removed in an earlier era is excluded", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: positionOf(1, 5), entries: [entry("a")] });
  table.adopt({ revision: positionOf(1, 6), entries: [] });
  const restored = { revision: positionOf(2, 5), entries: [entry("a")] };
  table.adopt(restored, { excludeRemoved: true });
  assert.equal(table.get("a"), undefined);
  table.adopt({ ...restored, revision: positionOf(2, 6) });
  assert.ok(table.get("a"));
  // A replica that was removed and listed again in the same era is valid.
  table.adopt({ revision: positionOf(2, 7), entries: [] });
  table.adopt({ ...restored, revision: positionOf(2, 8) }, {
    excludeRemoved: true,
  });
  assert.ok(table.get("a"));
});

// Guards against hosts that use a start of a replica which the store has lost,
// while others use the earlier start that it lists again.
test("an earlier start replaces a later one of an earlier era once the store is settled", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: positionOf(1, 5), entries: [startedEntry(1)] });
  table.adopt({ revision: positionOf(1, 6), entries: [startedEntry(2)] });
  const restored = { revision: positionOf(2, 5), entries: [startedEntry(1)] };
  table.adopt(restored, { retainMissing: true });
  assert.ok(table.get("a@2"));
  assert.equal(table.isExact, false);
  assert.deepEqual(table.listing().retained, ["a@2"]);
  table.adopt({ ...restored, revision: positionOf(2, 6) });
  assert.equal(table.get("a@2"), undefined);
  assert.ok(table.get("a@1"));
  assert.equal(table.isExact, true);
});

test("a later start of an earlier era is listed if the restored store lists it", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: positionOf(1, 6), entries: [startedEntry(2)] });
  const restored = { revision: positionOf(2, 5), entries: [startedEntry(1)] };
  table.adopt(restored, { retainMissing: true });
  const entries = [startedEntry(2)];
  table.adopt({ revision: positionOf(2, 6), entries }, { retainMissing: true });
  assert.equal(table.isExact, true);
  // A late entry of the same era, as above.
  table.adopt({ ...restored, revision: positionOf(2, 7) });
  assert.ok(table.get("a@2"));
});

test("a delta of a later era replaces a later start", () => {
  const reader = new ReplicaTable();
  const follower = new ReplicaTable();
  const first = { revision: positionOf(1, 5), entries: [startedEntry(1)] };
  reader.adopt(first);
  follower.adopt(first);
  follower.adopt({ revision: positionOf(1, 6), entries: [startedEntry(2)] });
  const entries = [startedEntry(1, true)];
  reader.adopt({ revision: positionOf(2, 5), entries });
  const delta = reader.deltaSince(positionOf(1, 5));
  assert.ok(delta && typeof follower.applyDelta(delta) === "object");
  assert.deepEqual(follower.entries(), entries);
});

test("a comparison leads to the sender's start of a replica", () => {
  const reader = new ReplicaTable();
  const follower = new ReplicaTable();
  follower.adopt({ revision: 5, entries: [startedEntry(2)] });
  reader.adopt({ revision: 6, entries: [startedEntry(1)] });
  const delta = reader.deltaTo(follower.compare());
  assert.ok(delta && typeof follower.applyDelta(delta) === "object");
  assert.deepEqual(follower.entries(), reader.entries());
});
