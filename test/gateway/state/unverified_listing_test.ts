/**
 * Tests what becomes of listings from readers of an earlier version, which send
 * no digest and may send replicas that the store does not list.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { replicaEntry } from "../replica_entry.ts";
import { ListingSource } from "../../../src/gateway/state/listing_source.ts";
import { StateFleet } from "./state_fleet.ts";

const STARTUP_MS = 8000;
const SETTLED_MS = 8000;
const SEEDS = 10;

// Guards against a replica that left long ago and is used for good, since the next
// reader only reads changes.
test("a replica that only a reader of an earlier version lists is given up with that reader", async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const fleet = new StateFleet(9, seed);
    const { store, hosts } = fleet;
    for (const id of ["a", "b"]) store.putReplica(replicaEntry(id));
    const reader = hosts.find((host) => fleet.roleOf(host) === "reader");
    assert.ok(reader);
    fleet.sendsNoDigests = (host) => host === reader.entry.id;
    await fleet.runTo(STARTUP_MS + seed * 97);
    const { replicas } = reader.context;
    const entries = [...replicas.entries(), replicaEntry("left")];
    store.advanceRevision(1);
    replicas.adopt({ revision: replicas.revision, entries });
    await fleet.runTo(fleet.now + 3000);
    const others = hosts.filter((host) => host !== reader);
    const listing = () =>
      others.filter(({ context }) => context.replicas.get("left"));
    assert.ok(listing().length > 0, `seed ${seed}`);
    store.setTreatment(reader.entry.id, "silent");
    fleet.partition((from, to) => from === reader || to === reader);
    await fleet.runTo(fleet.now + SETTLED_MS);
    assert.deepEqual(listing(), [], `seed ${seed}`);
  }
});

test("a table is verified by the store, by digests and by comparison", () => {
  const entries = [replicaEntry("a")];
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries });
  assert.ok(table.isVerified);
  const { digest } = table;
  const delta = { since: 1, revision: 2, changed: [], gone: [], size: 1 };
  table.applyDelta({ ...delta, isUnverified: true });
  assert.ok(table.isExact && !table.isVerified);
  assert.equal(table.listing().isInexact, true);
  table.applyDelta({ ...delta, revision: 3 });
  assert.ok(!table.isVerified);
  table.applyDelta({ ...delta, revision: 4, digest });
  assert.ok(table.isVerified);
  table.applyDelta({ ...delta, revision: 5, isUnverified: true });
  table.adopt({ revision: 5, entries });
  assert.ok(table.isVerified);
  const full = { ...delta, since: -1, revision: 6, changed: entries };
  table.applyDelta({ ...full, isUnverified: true });
  assert.ok(table.isExact && !table.isVerified);
});

test("deltas of a link are verified once one of them had a digest", () => {
  const source = new ListingSource();
  const delta = { since: 1, revision: 2, changed: [], gone: [], size: 1 };
  assert.equal(source.mark(delta).isUnverified, true);
  assert.equal(source.mark({ ...delta, digest: 7 }).isUnverified, undefined);
  assert.equal(source.mark(delta).isUnverified, undefined);
  const unverified = { ...delta, isUnverified: true } as const;
  assert.equal(source.mark(unverified).isUnverified, true);
});

test("changes from a peer without a digest are inexact", () => {
  const table = new ReplicaTable();
  table.adopt({ revision: 1, entries: [replicaEntry("a")] });
  const delta = { since: 1, revision: 2, changed: [], gone: [], size: 1 };
  assert.equal(table.listingAfter(delta)?.isInexact, true);
  const { digest } = table;
  const listing = table.listingAfter({ ...delta, digest });
  assert.equal(listing?.isInexact, undefined);
});
