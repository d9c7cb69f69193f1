/** Tests that a delta is only applied if it leads to the sender's listing. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { positionOf } from "../../../src/gateway/position.ts";
import type {
  ListingDelta,
  ReplicaEntry,
} from "../../../src/gateway/replicas/model.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import {
  encodeDelta,
  ListingDeltaSchema,
} from "../../../src/gateway/replicas/schema.ts";
import { replicaEntry } from "../replica_entry.ts";

const [a, b, c] = ["a", "b", "c"].map((id) => replicaEntry(id)) as [
  ReplicaEntry,
  ReplicaEntry,
  ReplicaEntry,
];

function tableOf(
  revision: number,
  entries: readonly ReplicaEntry[],
): ReplicaTable {
  const table = new ReplicaTable();
  table.adopt({ revision, entries });
  return table;
}

/** A delta with the digest of its sender, as it is received. */
function receive(
  delta: ListingDelta | undefined,
  { digest }: ReplicaTable,
): ListingDelta {
  assert.ok(delta);
  return ListingDeltaSchema.parse(encodeDelta({ ...delta, digest }));
}

/** Two tables of the first era, in which only the follower has seen "b" replaced. */
function createRestored() {
  const follower = tableOf(positionOf(1, 10), [a, b]);
  const reader = tableOf(positionOf(1, 10), [a, b]);
  follower.adopt({ revision: positionOf(1, 12), entries: [a, c] });
  reader.adopt({ revision: positionOf(2, 11), entries: [a, b] });
  return { follower, reader };
}

// Guards against hosts that list different replicas at one position.
test("a delta over two eras that agrees in size only is a gap", () => {
  const { follower, reader } = createRestored();
  const delta = receive(reader.deltaSince(follower.revision), reader);
  assert.equal(delta.size, follower.size);
  assert.equal(follower.applyDelta(delta), "gap");
  assert.equal(follower.listingAfter(delta), undefined);
  const compared = receive(reader.deltaTo(follower.compare()), reader);
  assert.ok(typeof follower.applyDelta(compared) === "object");
  assert.deepEqual(follower.entries().map(({ id }) => id).sort(), ["a", "b"]);
});

test("a table that differs at the position of the sender's is found out", () => {
  const follower = tableOf(5, [a, c]);
  const reader = tableOf(5, [a, b]);
  const delta = receive(reader.deltaSince(5), reader);
  assert.equal(follower.applyDelta(delta), "gap");
  const same = tableOf(5, [a, c]);
  assert.notEqual(
    follower.applyDelta(receive(same.deltaSince(5), same)),
    "gap",
  );
});

test("a delta without a digest is checked by its size", () => {
  const { follower, reader } = createRestored();
  const delta = reader.deltaSince(follower.revision);
  assert.ok(delta && delta.digest === undefined);
  assert.ok(typeof follower.applyDelta(delta) === "object");
  assert.equal(follower.applyDelta({ ...delta, size: 3 }), "gap");
});

// A host may know of a draining replica before or after its reader does.
test("a replica that only one of two hosts knows to be draining is no gap", () => {
  const follower = tableOf(5, [a, b]);
  const reader = tableOf(5, [a, b]);
  follower.noteDraining([b.incarnation]);
  for (const [revision, entry] of [[6, c], [7, a]] as const) {
    const changes = { since: revision - 1, revision, gone: [] };
    reader.applyChanges({ ...changes, changed: [entry] });
    const delta = receive(reader.deltaSince(follower.revision), reader);
    assert.ok(typeof follower.applyDelta(delta) === "object");
  }
  assert.equal(follower.digest, reader.digest);
  reader.applyChanges({
    since: 7,
    revision: 8,
    changed: [{ ...a, leaving: true }],
    gone: [],
  });
  follower.noteDraining([a.incarnation]);
  const delta = receive(reader.deltaSince(7), reader);
  assert.ok(typeof follower.applyDelta(delta) === "object");
});

test("the digest after changes is that of a table with the same entries", () => {
  const table = tableOf(1, [a, b]);
  const slots = replicaEntry("a", { slots: 7 });
  table.applyChanges({
    since: 1,
    revision: 2,
    changed: [c, slots],
    gone: ["b"],
  });
  table.applyChanges({ since: 2, revision: 3, changed: [slots], gone: ["x"] });
  assert.equal(table.digest, tableOf(9, [c, slots]).digest);
  assert.notEqual(table.digest, tableOf(9, [c, a]).digest);
});
