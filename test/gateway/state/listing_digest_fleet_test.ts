/**
 * Tests that all hosts of a fleet list the same replicas after a restore that
 * its reader has not observed, in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { replicaEntry } from "../replica_entry.ts";
import type { FleetHost } from "./fleet_host.ts";
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

async function runSeed(seed: number): Promise<StateFleet> {
  const fleet = new StateFleet(7, seed);
  const { store } = fleet;
  for (const id of ["a", "b", "c"]) store.putReplica(replicaEntry(id));
  await fleet.runTo(STARTUP_MS + seed * 17);
  const backup = store.backUp();
  const reader = fleet.hosts.find((host) => fleet.roleOf(host) === "reader");
  assert.ok(reader);
  fleet.suspend(reader, SUSPENDED_MS);
  await fleet.runTo(fleet.now + 100 + seed * 20);
  store.deleteReplica("b");
  store.putReplica(replicaEntry("d"));
  await fleet.runTo(fleet.now + 100 + seed * 11);
  store.restore(backup);
  await fleet.runTo(fleet.now + SUSPENDED_MS + SETTLED_MS);
  return fleet;
}

test("hosts that saw a replica replaced before a restore list what their reader lists", async () => {
  const failed: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const { hosts } = await runSeed(seed);
    for (const host of hosts) {
      const listed = listedBy(host).join();
      if (listed !== "a,b,c") {
        failed.push(`seed ${seed}, ${host.entry.id}: ${listed}`);
      }
    }
  }
  assert.deepEqual(failed, []);
});
