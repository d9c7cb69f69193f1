/**
 * Deltas of listings: a follower reaches the reader's state or detects a gap.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
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
