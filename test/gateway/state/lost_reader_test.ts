/**
 * Tests what the followers of a large fleet call and send when their reader is
 * lost or has another listing, in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import { CALM_MS, entryOf, startFleet, STARTUP_MS } from "./large_fleet.ts";

// Guards against followers that list all replicas when their reader is lost.
test("followers of a lost reader read only the changes", async () => {
  const size = 330;
  const fleet = startFleet(size);
  await fleet.runTo(STARTUP_MS + CALM_MS);
  fleet.store.calls.clear();
  fleet.store.rejected = 0;
  const reader = fleet.hosts.find((host) => fleet.roleOf(host) === "reader");
  assert.ok(reader);
  fleet.store.setTreatment(reader.entry.id, "silent");
  fleet.partition((from, to) => from === reader || to === reader);
  fleet.at(fleet.now + 1000, () => fleet.store.putReplica(entryOf(7, 5)));
  const afterMs = 8000;
  await fleet.runTo(fleet.now + afterMs);
  const listed = fleet.hosts.filter(({ context }) =>
    context.replicas.get("i-7")?.entry.coldMs === 5
  );
  assert.equal(listed.length, size - 1);
  assert.equal(fleet.store.rejected, 0);
  const listings = fleet.store.calls.get("replicas") ?? 0;
  // Once for each host, and then by the next reader.
  const maxListings = size + 4 * afterMs / 1000;
  assert.ok(listings <= maxListings, `${listings} calls for replicas`);
});

// Guards against a follower that requests the same changes again and again.
test("a follower whose listing differs from its reader's gets the difference", async () => {
  const fleet = startFleet(30);
  await fleet.runTo(STARTUP_MS);
  const follower = fleet.hosts.find((host) =>
    fleet.roleOf(host) === "follower"
  );
  assert.ok(follower);
  const { replicas } = follower.context;
  const entries = [...replicas.entries().slice(1), entryOf(400), entryOf(401)];
  replicas.adopt({ revision: replicas.revision, entries });
  fleet.traffic.reset();
  fleet.store.putReplica(entryOf(7, 5));
  await fleet.runTo(STARTUP_MS + 2000);
  assert.equal(fleet.traffic.kinds.get("follow")?.messages, 1);
  assert.equal(fleet.traffic.kinds.get("state with full listing"), undefined);
  const idsOf = (entries: readonly ReplicaEntry[]) =>
    entries.map(({ id }) => id).sort();
  const [other] = fleet.hosts.filter((host) => host !== follower);
  assert.ok(other);
  assert.deepEqual(
    idsOf(replicas.entries()),
    idsOf(other.context.replicas.entries()),
  );
  assert.equal(replicas.get("i-7")?.entry.coldMs, 5);
});
