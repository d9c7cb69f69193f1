/** Deltas of listings: a follower ends where the reader is, or knows a gap. */
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
  { selector: (one) => one.id },
);

/** What a table believes, in an order of its own. */
function beliefs(table: ReplicaTable): ReplicaEntry[] {
  return table.entries().sort((a, b) => a.incarnation < b.incarnation ? -1 : 1);
}

test("a follower that takes deltas believes what its reader believes", () => {
  const step = fc.record({ listing, told: fc.boolean(), read: fc.boolean() });
  fc.assert(fc.property(fc.array(step), (steps) => {
    const reader = new ReplicaTable();
    const follower = new ReplicaTable();
    const left = new Set<string>();
    let revision = 0;
    for (const { listing, told, read } of steps) {
      revision += 2;
      // In the store, a replica that is leaving does not come back.
      for (const one of listing) if (one.leaving) left.add(one.id);
      const entries = listing.map(({ id }) => entry(id, left.has(id)));
      reader.adopt({ revision, entries });
      // The follower may have read the store itself in between.
      if (read) follower.adopt({ revision, entries });
      if (!told) continue;
      const delta = reader.after(follower.revision);
      if (delta) assert.notEqual(follower.follow(delta), "gap");
      assert.deepEqual(beliefs(follower), beliefs(reader));
    }
  }));
});

test("a delta that follows on a later revision is a gap", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 3, entries: [] });
  const delta = { since: 5, revision: 7, changed: [], gone: [], size: 0 };
  assert.equal(table.follow(delta), "gap");
});

test("a delta that leads to another number of replicas is a gap", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 3, entries: [entry("a", false)] });
  const delta = { since: 3, revision: 7, changed: [], gone: [], size: 2 };
  assert.equal(table.follow(delta), "gap");
});

test("a delta older than the listing in force is not taken", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 9, entries: [] });
  const changed = [entry("a", false)];
  const delta = { since: -1, revision: 7, changed, gone: [], size: 1 };
  assert.equal(table.follow(delta), "older");
  assert.deepEqual(table.entries(), []);
});
