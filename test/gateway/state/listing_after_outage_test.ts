/**
 * Tests in virtual time what hosts list after an outage of the store, or of the
 * paths to it.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { replicaEntry } from "../replica_entry.ts";
import type { Treatment } from "./fleet_store.ts";
import { routesOf } from "./routes_of.ts";
import { type FleetHost, StateFleet } from "./state_fleet.ts";

const SEEDS = 10;
const STARTUP_MS = 8000;
const OUTAGE_MS = 10_000;
/** The time within which a replica that has left gets no new requests. */
const PROPAGATION_MS = 3000;
/** The timeout of a call that the store leaves unanswered. */
const CALL_TIMEOUT_MS = 700;
const LIMITS = { bodyBytes: 1, headerMs: 1, idleMs: 1 };

async function startFleet(size: number, seed: number): Promise<StateFleet> {
  const fleet = new StateFleet(size, seed);
  const { store } = fleet;
  const config = { version: 1, routes: routesOf(2), services: [] };
  store.publish({ ...config, limits: LIMITS });
  for (const id of ["a", "b", "c"]) store.putReplica(replicaEntry(id));
  await fleet.runTo(STARTUP_MS);
  return fleet;
}

function treat(
  { store, hosts }: StateFleet,
  treatment: Treatment,
  isTreated: (host: FleetHost) => boolean = () => true,
): void {
  for (const host of hosts.filter(isTreated)) {
    store.setTreatment(host.entry.id, treatment);
  }
}

function uses({ context }: FleetHost, id: string): boolean {
  return context.replicas.openReplicasOf("s")
    .some((replica) => replica.entry.id === id);
}

// Guards against a host that retained a replica and brings it back to others.
test("a replica that hosts know has left isn't brought back by a peer", async () => {
  const fleet = await startFleet(4, 3);
  const { hosts, store } = fleet;
  const other = hosts.find((host) => fleet.roleOf(host) === "relay");
  const isOther = (host: FleetHost) => host === other;
  fleet.partition((from, to) => isOther(from) !== isOther(to));
  treat(fleet, "reset", isOther);
  await fleet.runTo(fleet.now + 3000);
  store.deleteReplica("a");
  await fleet.runTo(fleet.now + 4000);
  // The store serves the other host for a moment, then nobody.
  treat(fleet, "reset", (host) => !isOther(host));
  store.putReplica(replicaEntry("d"));
  treat(fleet, "served", isOther);
  await fleet.runTo(fleet.now + 1000);
  treat(fleet, "reset");
  fleet.partition(() => false);
  for (let second = 0; second < 10; second++) {
    await fleet.runTo(fleet.now + 1000);
    const users = hosts.filter((host) => uses(host, "a") && !isOther(host));
    const names = users.map((host) => host.entry.id);
    assert.deepEqual(names, [], `after ${second + 1} s`);
  }
});

// Guards against an era that counts as settled though nobody could write.
test("a replica that had left before a restore stays excluded after an outage", async () => {
  const fleet = await startFleet(7, 3);
  const { store, hosts } = fleet;
  const backup = store.backUp();
  await fleet.runTo(fleet.now + 1000);
  store.deleteReplica("a");
  await fleet.runTo(fleet.now + 5000);
  store.restore(backup);
  await fleet.runTo(fleet.now + 1000);
  treat(fleet, "reset");
  await fleet.runTo(fleet.now + 4000);
  treat(fleet, "served");
  for (let step = 0; step < 20; step++) {
    await fleet.runTo(fleet.now + 250);
    // The writers repeat what the restore has lost within a second.
    if (step === 3) store.deleteReplica("a");
    const users = hosts.filter((host) => uses(host, "a"));
    const names = users.map((host) => host.entry.id);
    assert.deepEqual(names, [], `step ${step}`);
  }
});

// Guards against hosts that leave a reader which the store has just served
// again, and withhold its listing from their followers.
for (
  const [treatment, boundMs] of [
    ["reset", PROPAGATION_MS],
    ["silent", PROPAGATION_MS + CALL_TIMEOUT_MS],
  ] as const
) {
  test(`a replica that left during an outage (${treatment}) is soon used by no host`, async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const fleet = await startFleet(7, seed);
      treat(fleet, treatment);
      await fleet.runTo(fleet.now + OUTAGE_MS / 2);
      fleet.store.deleteReplica("a");
      await fleet.runTo(fleet.now + OUTAGE_MS / 2);
      treat(fleet, "served");
      await fleet.runTo(fleet.now + boundMs);
      const users = fleet.hosts.filter((host) => uses(host, "a"));
      const names = users.map((host) => host.entry.id);
      assert.deepEqual(names, [], `seed ${seed}`);
    }
  });
}
