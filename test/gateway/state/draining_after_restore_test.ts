/**
 * Tests that a replica that starts draining right after a store restore gets no
 * new requests from any host. Listings are withheld until the era is settled,
 * so followers must receive the draining replica by an update.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { replicaEntry } from "../replica_entry.ts";
import { type FleetHost, StateFleet } from "./state_fleet.ts";

/** Covers the listing interval of 700 ms and two hops over links. */
const PROPAGATION_MS = 1000;
const STARTUP_MS = 8000;
const BACKUP_AGE_MS = 3000;
const REPLICAS = ["a", "b", "c", "d"].map((id) => replicaEntry(id));

type RestoreScenario = {
  readonly size: number;
  readonly seed: number;
  /** Time for which the store is unavailable. */
  readonly outageMs: number;
  /** From the restore to the start of draining. */
  readonly drainsAfterMs: number;
  /** Whether the store is restored again just before the replica drains. */
  readonly isRestoredTwice?: boolean;
};

function isOpen(host: FleetHost, id: string): boolean {
  const { replicas } = host.context;
  return replicas.openReplicasOf("s").some(({ entry }) => entry.id === id);
}

/** Creates a fleet whose store was restored and in which replica "a" drains. */
async function createRestoredFleet(
  scenario: RestoreScenario,
): Promise<StateFleet> {
  const fleet = new StateFleet(scenario.size, scenario.seed);
  const { store, hosts } = fleet;
  for (const entry of REPLICAS) store.putReplica(entry);
  await fleet.runTo(STARTUP_MS + scenario.seed * 97);
  const backup = store.backUp();
  store.advanceRevision(7);
  await fleet.runTo(fleet.now + BACKUP_AGE_MS);
  for (const { entry } of hosts) store.setTreatment(entry.id, "reset");
  await fleet.runTo(fleet.now + scenario.outageMs);
  store.restore(backup);
  store.advanceRevision(20);
  for (const { entry } of hosts) store.setTreatment(entry.id, "served");
  await fleet.runTo(fleet.now + scenario.drainsAfterMs);
  if (scenario.isRestoredTwice) store.restore(backup);
  store.putReplica({ ...replicaEntry("a"), leaving: true });
  return fleet;
}

const NAME =
  "a replica that drains right after a store restore gets no requests from any host";
test(NAME, knownRed(NAME), async () => {
  for (const size of [3, 9, 88]) {
    for (const outageMs of [5, 700]) {
      for (const drainsAfterMs of [0, 400, 1200]) {
        for (let seed = 0; seed < (size > 9 ? 2 : 8); seed++) {
          const scenario = { size, seed, outageMs, drainsAfterMs };
          const fleet = await createRestoredFleet(scenario);
          await fleet.runTo(fleet.now + PROPAGATION_MS);
          const late = fleet.hosts.filter((host) => isOpen(host, "a"));
          const details = `${late.length} hosts late: ${
            JSON.stringify(scenario)
          }`;
          assert.equal(late.length, 0, details);
          assert.ok(fleet.hosts.every((host) => isOpen(host, "b")));
        }
      }
    }
  }
});

test("a replica that drains after two store restores gets no requests from any host", async () => {
  for (let seed = 0; seed < 8; seed++) {
    const scenario = {
      size: 9,
      seed,
      outageMs: 5,
      drainsAfterMs: 900,
      isRestoredTwice: true,
    };
    const fleet = await createRestoredFleet(scenario);
    await fleet.runTo(fleet.now + PROPAGATION_MS);
    const late = fleet.hosts.filter((host) => isOpen(host, "a"));
    assert.equal(late.length, 0, `${late.length} hosts late, seed ${seed}`);
  }
});

test("a newly linked host is informed of draining replicas", async () => {
  const fleet = await createRestoredFleet({
    size: 9,
    seed: 3,
    outageMs: 5,
    drainsAfterMs: 100,
  });
  await fleet.runTo(fleet.now + PROPAGATION_MS);
  const added = fleet.add();
  await fleet.runTo(fleet.now + 3000);
  assert.ok(!isOpen(added, "a"));
  assert.ok(isOpen(added, "b"));
});

/** Time for a follower to detect an unreachable reader and to replace it. */
const READER_TIMEOUT_MS = 2000;

test("a draining replica gets no requests after the reader or a hall is partitioned", async () => {
  for (let seed = 0; seed < 8; seed++) {
    for (const size of [9, 30]) {
      for (const isHall of [true, false]) {
        const scenario = { size, seed, outageMs: 5, drainsAfterMs: 300 };
        const fleet = await createRestoredFleet(scenario);
        const isOutside = (host: FleetHost) =>
          isHall
            ? host.entry.hall === "hall-1"
            : fleet.roleOf(host) === "reader";
        const outside = new Set(fleet.hosts.filter(isOutside));
        fleet.partition((from, to) => outside.has(from) !== outside.has(to));
        await fleet.runTo(fleet.now + PROPAGATION_MS + READER_TIMEOUT_MS);
        const late = fleet.hosts.filter((host) => isOpen(host, "a"));
        const details = `${late.length} late, ${
          JSON.stringify({ isHall, ...scenario })
        }`;
        assert.equal(late.length, 0, details);
      }
    }
  }
});
