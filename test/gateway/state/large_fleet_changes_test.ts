/**
 * Tests what hosts of a large fleet send while replicas change and hosts join,
 * in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  callsTo,
  CALM_MS,
  CONTROL_BYTES_PER_SECOND,
  entryOf,
  startFleet,
  STARTUP_MS,
} from "./large_fleet.ts";

/** Data halls of the fleet. */
const HALLS = 3;
const CHANGES_PER_SECOND = 4;

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
