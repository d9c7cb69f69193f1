/**
 * Deltas of listings: a follower reaches the reader's state or detects a gap.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import {
  encodeEntry,
  ReplicaEntrySchema,
} from "../../../src/gateway/replicas/schema.ts";
import { replicaEntry } from "../replica_entry.ts";

function entry(incarnation: string, leaving: boolean): ReplicaEntry {
  return replicaEntry(incarnation, { leaving });
}

const listing = fc.uniqueArray(
  fc.record({ id: fc.constantFrom(..."abcdef"), leaving: fc.boolean() }),
  { selector: (replica) => replica.id },
);

/** The entries of a table, sorted by incarnation. */
function sortedEntries(table: ReplicaTable): ReplicaEntry[] {
  return table.entries().sort((a, b) => a.incarnation < b.incarnation ? -1 : 1);
}

test("a follower that applies deltas has the same entries as its reader", () => {
  const step = fc.record({
    listing,
    sent: fc.boolean(),
    read: fc.boolean(),
  });
  fc.assert(fc.property(fc.array(step), (steps) => {
    const reader = new ReplicaTable();
    const follower = new ReplicaTable();
    const draining = new Set<string>();
    let revision = 0;
    for (const { listing, sent, read } of steps) {
      revision += 2;
      // In the store, a draining replica stays draining.
      for (const replica of listing) {
        if (replica.leaving) draining.add(replica.id);
      }
      const entries = listing.map(({ id }) => entry(id, draining.has(id)));
      reader.adopt({ revision, entries });
      // The follower may have read the store itself in between.
      if (read) follower.adopt({ revision, entries });
      if (!sent) continue;
      const delta = reader.deltaSince(follower.revision);
      if (delta) assert.notEqual(follower.applyDelta(delta), "gap");
      assert.deepEqual(sortedEntries(follower), sortedEntries(reader));
    }
  }));
});

test("a delta relative to a later revision is a gap", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 3, entries: [] });
  const delta = { since: 5, revision: 7, changed: [], gone: [], size: 0 };
  assert.equal(table.applyDelta(delta), "gap");
});

test("a delta that leads to a different number of replicas is a gap", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 3, entries: [entry("a", false)] });
  const delta = { since: 3, revision: 7, changed: [], gone: [], size: 2 };
  assert.equal(table.applyDelta(delta), "gap");
});

test("a delta older than the table is not applied", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 9, entries: [] });
  const changed = [entry("a", false)];
  const delta = { since: -1, revision: 7, changed, gone: [], size: 1 };
  assert.equal(table.applyDelta(delta), "older");
  assert.deepEqual(table.entries(), []);
});

// Guards against a host that sends all of a listing that it has received again.
test("entries that another host has sent are the same as the store's", () => {
  const table = new ReplicaTable();
  const full = { born: 3, stage: "decode", softwareVersion: "1" } as const;
  const entries = [
    replicaEntry("a"),
    replicaEntry("b", { ...full, incarnation: "b@3" }),
  ];
  table.adopt({ revision: 3, entries });
  const changed = entries.map((entry) =>
    ReplicaEntrySchema.parse(encodeEntry(entry))
  );
  const delta = { since: -1, revision: 7, changed, gone: [], size: 2 };
  const change = table.applyDelta(delta);
  assert.ok(typeof change === "object");
  assert.deepEqual(change.changed, []);
  assert.deepEqual(table.deltaSince(3)?.changed, []);
});

test("each field of an entry counts as a change", () => {
  const table = new ReplicaTable();
  const before = replicaEntry("a", { stage: "decode", softwareVersion: "1" });
  const changes: Partial<ReplicaEntry>[] = [
    { service: "s2" },
    { address: "127.0.0.1:2" },
    { hall: "h2" },
    { slots: 2 },
    { leaving: true },
    { stage: "prefill" },
    { coldMs: 1 },
    { softwareVersion: "2" },
  ];
  let revision = 0;
  for (const change of [{}, ...changes]) {
    revision += 1;
    const entries = [{ ...before, incarnation: `a@${revision}` }];
    table.adopt({ revision, entries });
    revision += 1;
    const changed = { ...entries[0] as ReplicaEntry, ...change };
    const isChanged = Object.keys(change).length > 0;
    const applied = table.adopt({ revision, entries: [changed] });
    assert.deepEqual(applied?.changed, isChanged ? [changed] : []);
  }
});

const storeChange = fc.record({
  id: fc.constantFrom(..."abcdef"),
  born: fc.integer({ min: 1, max: 3 }),
  leaving: fc.boolean(),
  isGone: fc.boolean(),
  noted: fc.option(fc.constantFrom(..."abcdef"), { nil: undefined }),
});

test("changes lead to the same table as the full listing", () => {
  fc.assert(fc.property(fc.array(storeChange), (steps) => {
    const stored = new Map<string, ReplicaEntry>();
    const changed = new ReplicaTable();
    const listed = new ReplicaTable();
    for (const table of [changed, listed]) {
      table.adopt({ revision: 0, entries: [] });
    }
    let revision = 0;
    for (const { id, born, leaving, isGone, noted } of steps) {
      revision += 1;
      const incarnation = `${id}@${born}`;
      const entry = replicaEntry(id, { born, incarnation, leaving });
      if (isGone) stored.delete(id);
      else stored.set(id, entry);
      for (const table of [changed, listed]) {
        if (noted) table.noteDraining([`${noted}@1`]);
      }
      const entries = [...stored.values()];
      const byChanges = changed.applyChanges({
        since: revision - 1,
        revision,
        changed: isGone ? [] : [entry],
        gone: isGone ? [id] : [],
      });
      const byListing = listed.adopt({ revision, entries });
      assert.deepEqual(sortedEntries(changed), sortedEntries(listed));
      assert.deepEqual(byChanges, byListing);
      for (const service of ["s", "s2"]) {
        const open = (table: ReplicaTable) =>
          table.openReplicasOf(service).map(({ entry }) => entry.incarnation)
            .sort();
        assert.deepEqual(open(changed), open(listed));
      }
    }
  }));
});

/** Calls `note` for each property of the entry that is read. */
function observed(entry: ReplicaEntry, note: () => void): ReplicaEntry {
  return new Proxy(entry, {
    get: (target, key) => {
      note();
      return target[key as keyof ReplicaEntry];
    },
  });
}

// Guards against a cost of each change that grows with the number of replicas.
test("a change of one replica reads no entry of the others", () => {
  let reads = 0;
  const table = new ReplicaTable();
  const entries = Array.from(
    { length: 3000 },
    (_, at) => observed(replicaEntry(`i-${at}`), () => reads += 1),
  );
  table.adopt({ revision: 1, entries });
  const changed = [replicaEntry("i-7", { slots: 2 })];
  reads = 0;
  table.applyChanges({ since: 1, revision: 2, changed, gone: ["i-8"] });
  const delta = table.deltaSince(1);
  assert.deepEqual([delta?.changed, delta?.gone], [changed, ["i-8"]]);
  const next = [replicaEntry("i-7", { slots: 3 })];
  const received = { since: 2, revision: 3, changed: next, gone: [] };
  assert.ok(typeof table.applyDelta({ ...received, size: 2999 }) === "object");
  // Those of the two replicas that the changes name.
  assert.ok(reads < 100, `${reads} reads`);
});
