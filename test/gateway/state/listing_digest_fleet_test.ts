/**
 * Tests that all hosts of a fleet list the same replicas after a restore that
 * lost what some of them had observed, in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { replicaEntry } from "../replica_entry.ts";
import type { FleetHost } from "./fleet_host.ts";
import type { FleetStore } from "./fleet_store.ts";
import { StateFleet } from "./state_fleet.ts";

const SEEDS = 60;
const STARTUP_MS = 8000;
const SETTLED_MS = 6000;
const SUSPENDED_MS = 3000;

/** The replicas that a host lists, sorted. */
function listedBy({ context }: FleetHost): string[] {
  return context.replicas.entries().map(({ incarnation }) => incarnation)
    .sort();
}

/** Calls `write` before a restore, while the reader is suspended. */
async function runSeed(
  seed: number,
  write: (store: FleetStore) => void,
): Promise<StateFleet> {
  const fleet = new StateFleet(7, seed);
  const { store } = fleet;
  for (const id of ["a", "b", "c"]) store.putReplica(replicaEntry(id));
  await fleet.runTo(STARTUP_MS + seed * 17);
  const backup = store.backUp();
  const reader = fleet.hosts.find((host) => fleet.roleOf(host) === "reader");
  assert.ok(reader);
  fleet.suspend(reader, SUSPENDED_MS);
  await fleet.runTo(fleet.now + 100 + seed * 20);
  write(store);
  await fleet.runTo(fleet.now + 100 + seed * 11);
  store.restore(backup);
  await fleet.runTo(fleet.now + SUSPENDED_MS + SETTLED_MS);
  return fleet;
}

/** Hosts that don't list the replicas that the store lists. */
async function findDiffering(
  write: (store: FleetStore) => void,
): Promise<string[]> {
  const differing: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { hosts } = await runSeed(seed, write);
    for (const host of hosts) {
      const listed = listedBy(host).join();
      if (listed === "a,b,c") continue;
      differing.push(`seed ${seed}, ${host.entry.id}: ${listed}`);
    }
  }
  return differing;
}

test("hosts that saw a replica replaced before a restore list what their reader lists", async () => {
  const differing = await findDiffering((store) => {
    store.deleteReplica("b");
    store.putReplica(replicaEntry("d"));
  });
  assert.deepEqual(differing, []);
});

test("hosts that saw a replica start again before a restore list what their reader lists", async () => {
  const differing = await findDiffering((store) =>
    store.putReplica(replicaEntry("b", { incarnation: "b@2", born: 2 }))
  );
  assert.deepEqual(differing, []);
});
