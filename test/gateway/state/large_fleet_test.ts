/**
 * Tests what hosts of a large fleet send and call, in virtual time: when all of
 * them start together, and while replicas change.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import {
  createLargeFleet,
  entryOf,
  LIMITS,
  REPLICAS_PER_HOST,
} from "./large_fleet.ts";
import type { StateFleet } from "./state_fleet.ts";

const SIZES = [100, 330];
/** Data halls of the fleet. */
const HALLS = 3;
/** Time in which all hosts serve after a start. */
const STARTUP_MS = 5000;
const CALM_MS = 10_000;
const CHANGES_PER_SECOND = 4;
/** What a host may send and receive for control. */
const CONTROL_BYTES_PER_SECOND = 29_000;

/** A fleet that starts while replicas write their heartbeats. */
function startFleet(size: number, { knowsAll = true } = {}): StateFleet {
  const fleet = createLargeFleet(size, { knowsAll });
  const { store } = fleet;
  for (let at = 20; at < STARTUP_MS; at += 20) {
    fleet.at(at, () => store.advanceRevision(3));
  }
  return fleet;
}

function callsTo({ store }: StateFleet): number {
  return [...store.calls.values()].reduce((sum, count) => sum + count, 0);
}

/** All hosts can serve, and none has sent or received many listings. */
function assertServing({ hosts, traffic }: StateFleet): void {
  const count = hosts.length * REPLICAS_PER_HOST;
  for (const { context, routes, entry } of hosts) {
    assert.equal(context.replicas.size, count, entry.id);
    assert.equal(routes.version, 1, entry.id);
  }
  const listing = hosts[0]?.context.replicas.entries();
  const { bytes } = traffic.busiest;
  const maxBytes = 10 * JSON.stringify(listing).length;
  assert.ok(bytes <= maxBytes, `${bytes} bytes`);
}

/** The calls don't grow with the fleet, nor do bytes exceed what is allowed. */
async function assertCalm(fleet: StateFleet): Promise<void> {
  fleet.store.calls.clear();
  fleet.traffic.reset();
  await fleet.runTo(fleet.now + CALM_MS);
  const calls = callsTo(fleet);
  assert.ok(calls <= 5 * CALM_MS / 1000, `${calls} calls`);
  const perSecond = fleet.traffic.busiest.bytes * 1000 / CALM_MS;
  assert.ok(perSecond <= CONTROL_BYTES_PER_SECOND, `${perSecond} bytes/s`);
}

// Guards against hosts that exceed the store's limit of calls together and then
// list all replicas again, from the store and from each other.
for (const size of SIZES) {
  test(`${size} hosts that start together list the replicas within 5 s`, async () => {
    const fleet = startFleet(size);
    await fleet.runTo(STARTUP_MS);
    assertServing(fleet);
    // Each host reads its peers and the configuration, and lists the replicas
    // at most once.
    const pages = Math.ceil(size * REPLICAS_PER_HOST / LIMITS.pageRows);
    const calls = callsTo(fleet);
    assert.ok(calls <= size * (pages + 4), `${calls} calls`);
    assert.ok(fleet.store.rejected <= size, `${fleet.store.rejected} rejected`);
    await assertCalm(fleet);
  });
}

// Guards against the same where the store has no rows of hosts yet, so that
// they know the few seeds of their settings only.
test("330 hosts that start for the first time list the replicas within 5 s", async () => {
  const fleet = startFleet(330, { knowsAll: false });
  await fleet.runTo(STARTUP_MS);
  assertServing(fleet);
  await fleet.runTo(2 * STARTUP_MS);
  await assertCalm(fleet);
});

// Guards against full listings on the links, and several messages a change.
test("a change of one replica is sent once over each link", async () => {
  const size = 100;
  const fleet = startFleet(size);
  await fleet.runTo(STARTUP_MS);
  fleet.traffic.reset();
  fleet.store.calls.clear();
  for (let at = 0; at < CALM_MS; at += 1000 / CHANGES_PER_SECOND) {
    fleet.at(STARTUP_MS + at, () => fleet.store.putReplica(entryOf(at, at)));
  }
  await fleet.runTo(STARTUP_MS + CALM_MS);
  const seconds = CALM_MS / 1000;
  const { messages, bytes } = fleet.traffic.busiest;
  // Those of its hall, and the first of the other halls.
  const followers = Math.ceil(size / HALLS) + HALLS;
  // Besides a change, a message for the age of the state a second.
  const maxMessages = followers * (CHANGES_PER_SECOND + 1) * seconds;
  assert.ok(messages <= maxMessages, `${messages} messages`);
  assert.ok(bytes <= maxMessages * 400, `${bytes} bytes`);
  const calls = callsTo(fleet);
  assert.ok(calls <= (CHANGES_PER_SECOND + 2) * seconds, `${calls} calls`);
});

// Guards against a relay that sends each change to its whole hall.
test("no host of 330 sends more than it may while replicas change", async () => {
  const fleet = startFleet(330);
  await fleet.runTo(STARTUP_MS + CALM_MS);
  fleet.traffic.reset();
  const startedAt = fleet.now;
  for (let at = 0; at < CALM_MS; at += 1000 / CHANGES_PER_SECOND) {
    fleet.at(startedAt + at, () => fleet.store.putReplica(entryOf(7, at + 1)));
  }
  await fleet.runTo(startedAt + CALM_MS);
  const perSecond = fleet.traffic.busiest.bytes * 1000 / CALM_MS;
  assert.ok(perSecond <= CONTROL_BYTES_PER_SECOND, `${perSecond} bytes/s`);
  const last = fleet.hosts.filter(({ context }) =>
    context.replicas.get("i-7")?.entry.coldMs === CALM_MS - 250 + 1
  );
  assert.equal(last.length, fleet.hosts.length);
});

// Guards against hosts deep in the tree that the others don't know of.
test("a host that joins below others is known to all within a second", async () => {
  const fleet = startFleet(100);
  await fleet.runTo(STARTUP_MS + CALM_MS);
  const added = fleet.add();
  await fleet.runTo(fleet.now + 2000);
  const followed = fleet.hosts.find(({ state }) =>
    state.server.hosts.some(({ id }) => id === added.entry.id)
  );
  assert.ok(followed);
  const without = fleet.hosts.filter(({ directory, entry }) =>
    entry !== added.entry && !directory.get(added.entry.id)
  );
  assert.deepEqual(without.map(({ entry }) => entry.id), []);
});

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
