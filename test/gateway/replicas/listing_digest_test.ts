/** Tests how two hosts find out where their listings differ. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import {
  encodeDelta,
  ListingDeltaSchema,
} from "../../../src/gateway/replicas/schema.ts";
import { replicaEntry } from "../replica_entry.ts";

const listing = fc.uniqueArray(
  fc.record({
    id: fc.integer({ min: 0, max: 400 }),
    slots: fc.integer({ min: 1, max: 2 }),
  }),
  { selector: ({ id }) => id, maxLength: 60 },
).map((entries) => entries.map(({ id, slots }) => entryOf(id, slots)));

function entryOf(id: number, slots = 1): ReplicaEntry {
  return replicaEntry(`i-${id}`, { slots });
}

function tableOf(
  revision: number,
  entries: readonly ReplicaEntry[],
): ReplicaTable {
  const table = new ReplicaTable();
  table.adopt({ revision, entries });
  return table;
}

function sortedEntries(table: ReplicaTable): ReplicaEntry[] {
  return table.entries().sort((a, b) => a.id < b.id ? -1 : 1);
}

test("a table that is compared becomes that of the other host", () => {
  fc.assert(fc.property(listing, listing, (before, after) => {
    const follower = tableOf(3, before);
    const reader = tableOf(7, after);
    const delta = reader.deltaTo(follower.compare());
    assert.ok(delta);
    const received = ListingDeltaSchema.parse(encodeDelta(delta));
    assert.ok(typeof follower.applyDelta(received) === "object");
    assert.deepEqual(sortedEntries(follower), sortedEntries(reader));
    assert.equal(follower.deltaBase, 7);
  }));
});

test("few entries are sent if few replicas differ", () => {
  const entries = Array.from({ length: 3000 }, (_, id) => entryOf(id));
  const follower = tableOf(3, entries);
  const reader = tableOf(7, [entryOf(0, 2), ...entries.slice(1)]);
  const delta = reader.deltaTo(follower.compare());
  assert.equal(delta?.buckets?.length, 1);
  assert.ok((delta?.changed.length ?? 0) < 100);
  assert.equal(reader.deltaTo(reader.compare())?.changed.length, 0);
});

test("an inexact table becomes exact when it is compared", () => {
  const follower = tableOf(3, [entryOf(1), entryOf(2)]);
  follower.adopt({ revision: 4, entries: [entryOf(1)] }, {
    retainMissing: true,
  });
  assert.equal(follower.isExact, false);
  const delta = tableOf(7, [entryOf(1)]).deltaTo(follower.compare());
  assert.ok(delta && typeof follower.applyDelta(delta) === "object");
  assert.equal(follower.isExact, true);
  assert.equal(follower.size, 1);
});

test("an inexact table is not compared with", () => {
  const reader = tableOf(3, [entryOf(1), entryOf(2)]);
  reader.adopt({ revision: 4, entries: [] }, { retainMissing: true });
  assert.equal(reader.deltaTo(tableOf(3, []).compare()), undefined);
});

test("a comparison with an earlier state of the table is a gap", () => {
  const follower = tableOf(3, [entryOf(1)]);
  const delta = tableOf(7, [entryOf(2)]).deltaTo(follower.compare());
  assert.ok(delta);
  follower.adopt({ revision: 5, entries: [entryOf(1), entryOf(3)] });
  assert.equal(follower.applyDelta(delta), "gap");
  assert.equal(follower.size, 2);
  const full = { ...delta, buckets: [], comparedState: -1 };
  assert.equal(follower.applyDelta(full), "gap");
});
