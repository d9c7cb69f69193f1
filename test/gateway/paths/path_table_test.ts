/** When paths to replicas are checked and tried again. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { PathTable } from "../../../src/gateway/paths/path_table.ts";
import { replicaEntry } from "../replica_entry.ts";

const ENTRY = replicaEntry("a");
const OTHER = replicaEntry("b", { address: "127.0.0.1:2" });

/** Fails a path at time 0. */
function failed(isReachedByPeer: boolean): PathTable {
  const table = new PathTable();
  assert.equal(table.noteFailed(ENTRY, { isReachedByPeer, now: 0 }), true);
  return table;
}

test("a failed path is lost or unreachable, until it heals", () => {
  for (const isReachedByPeer of [true, false]) {
    const table = failed(isReachedByPeer);
    const isKnown = !table.noteFailed(ENTRY, { isReachedByPeer, now: 1 });
    assert.ok(isKnown);
    assert.equal(table.isLost("a"), isReachedByPeer);
    assert.equal(table.isUnreachable("a"), !isReachedByPeer);
    assert.equal(table.lost.length, isReachedByPeer ? 1 : 0);
    const path = table.startRetry("a", 250);
    assert.ok(path && table.endRetry(path, 260));
    table.noteHealed(path, 260);
    assert.equal(table.hasFailed, false);
    assert.equal(table.startCheck("a", 1259), false);
    assert.equal(table.startCheck("a", 1260), true);
  }
});

test("an unreachable replica is tried again sooner than a lost path", () => {
  for (const [isReachedByPeer, intervalMs] of [[true, 1000], [false, 250]]) {
    const table = failed(isReachedByPeer === true);
    assert.equal(table.startRetry("a", 249), undefined);
    const path = table.startRetry("a", 250);
    assert.equal(table.startRetry("a", 250), undefined);
    assert.ok(path && table.endRetry(path, 300));
    const nextAt = 300 + Number(intervalMs);
    assert.equal(table.startRetry("a", nextAt - 1), undefined);
    assert.equal(table.startRetry("a", nextAt), path);
  }
});

test("a retry whose path has changed meanwhile decides nothing", () => {
  const changed = failed(false);
  const path = changed.startRetry("a", 250);
  changed.noteFailed(ENTRY, { isReachedByPeer: true, now: 260 });
  assert.ok(path);
  assert.equal(changed.endRetry(path, 270), false);
  const removed = failed(true);
  const gone = removed.startRetry("a", 250);
  removed.removeReplica("a");
  assert.ok(gone);
  assert.equal(removed.endRetry(gone, 270), false);
});

test("once a path heals, the others are tried again at once", () => {
  const table = failed(true);
  table.noteFailed(OTHER, { isReachedByPeer: true, now: 240 });
  const path = table.startRetry("a", 250);
  assert.ok(path && table.endRetry(path, 260));
  table.noteHealed(path, 260);
  assert.ok(table.startRetry("b", 260));
});

test("a path is not checked twice at once, nor after it has failed", () => {
  const table = new PathTable();
  assert.equal(table.startCheck("a", 0), true);
  assert.equal(table.startCheck("a", 1), false);
  table.endCheck("a");
  assert.equal(table.startCheck("a", 2), true);
  assert.equal(failed(true).startCheck("a", 5000), false);
});

test("a silent replica is taken for a busy one while others respond", () => {
  const table = new PathTable();
  table.noteReceived(100);
  assert.deepEqual(table.checkSilence(100, 300), { isDue: true, nextMs: 1000 });
  table.noteReceived(101);
  assert.deepEqual(table.checkSilence(100, 300), { isDue: false, nextMs: 400 });
  assert.deepEqual(table.checkSilence(100, 700), { isDue: true, nextMs: 1000 });
});

test("a loss has the paths that were in use last checked, once a second", () => {
  const table = new PathTable();
  const entries = Array.from({ length: 30 }, (_, at) => replicaEntry(`r${at}`));
  assert.deepEqual(table.chooseChecked(entries, 0), entries.slice(-24));
  assert.deepEqual(table.chooseChecked(entries, 999), []);
  assert.equal(table.chooseChecked(entries, 1000).length, 24);
});

test("a refusal is confirmed by replicas elsewhere that have not failed", () => {
  const table = failed(true);
  const refusing = replicaEntry("c", { address: "127.0.0.1:3" });
  const successor = { ...refusing, incarnation: "c2" };
  const all = [ENTRY, OTHER, refusing, successor];
  assert.deepEqual(table.chooseConfirming(all, refusing), [OTHER]);
});
