/**
 * Tests that writes confirmed after a store restore take effect in time. Guards
 * against hosts that drop all responses of a restored store as stale until its
 * revision exceeds the old one.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry, RouteConfig } from "../../../src/gateway/mod.ts";
import { replicaEntry } from "../replica_entry.ts";
import { routesOf } from "./routes_of.ts";
import { type FleetHost, StateFleet } from "./state_fleet.ts";

/** Time within which a confirmed write has to take effect. */
const IN_FORCE_MS = 2000;
/** Time after a restore from which writes have to take effect in time. */
const SETTLED_MS = 3000;
const STARTUP_MS = 8000;
const BACKUP_AGE_MS = 3000;
const SEEDS = 20;
const HOSTS = 9;

/** Routes of a configuration that is sent over links. */
const FEW = 3;
/** Routes of a configuration that is too large to be sent over links. */
const MANY = 400;

function configOf(version: number, routes = FEW): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(routes), services: [], limits };
}

const REPLICAS = ["a", "b", "c", "d"].map((id) => replicaEntry(id));
const [DRAINING] = REPLICAS as [ReplicaEntry];

type RestoreScenario = {
  readonly seed: number;
  /** Time for which the store is unavailable. */
  readonly outageMs: number;
  /** Writes of unrelated rows that the restore loses. */
  readonly lostWrites: number;
  readonly reportsEra?: boolean;
};

/**
 * Creates a fleet whose store was just restored and its lost writes repeated.
 */
async function createRestoredFleet(
  scenario: RestoreScenario,
): Promise<StateFleet> {
  const { reportsEra = true } = scenario;
  const fleet = new StateFleet(HOSTS, scenario.seed, { reportsEra });
  const { store } = fleet;
  for (const entry of REPLICAS) store.putReplica(entry);
  store.publish(configOf(1));
  await fleet.runTo(STARTUP_MS + scenario.seed * 97);
  const backup = store.backUp();
  await fleet.runTo(fleet.now + BACKUP_AGE_MS / 2);
  store.advanceRevision(scenario.lostWrites);
  store.publish(configOf(2));
  await fleet.runTo(fleet.now + BACKUP_AGE_MS / 2);
  if (scenario.outageMs > 0) await interruptStore(fleet, scenario.outageMs);
  store.restore(backup);
  store.publish(configOf(2));
  return fleet;
}

async function interruptStore(fleet: StateFleet, forMs: number): Promise<void> {
  const { hosts, store } = fleet;
  for (const { entry } of hosts) store.setTreatment(entry.id, "reset");
  await fleet.runTo(fleet.now + forMs);
  for (const { entry } of hosts) store.setTreatment(entry.id, "served");
}

function isOpen(host: FleetHost, id: string): boolean {
  const { replicas } = host.context;
  return replicas.openReplicasOf("s").some(({ entry }) => entry.id === id);
}

/**
 * Publishes a version and drains a replica, and returns the hosts at which
 * either takes effect late.
 */
async function findLateHosts(fleet: StateFleet): Promise<string[]> {
  fleet.store.publish(configOf(3));
  fleet.store.putReplica({ ...DRAINING, leaving: true });
  await fleet.runTo(fleet.now + IN_FORCE_MS);
  const isLate = (host: FleetHost) =>
    host.routes.version < 3 || isOpen(host, DRAINING.id);
  return fleet.hosts.filter(isLate).map(({ entry }) => entry.id);
}

async function assertInTime(
  scenario: Omit<RestoreScenario, "seed">,
): Promise<void> {
  for (let seed = 0; seed < SEEDS; seed++) {
    const fleet = await createRestoredFleet({ ...scenario, seed });
    await fleet.runTo(fleet.now + SETTLED_MS);
    const late = await findLateHosts(fleet);
    assert.deepEqual(late, [], `Seed ${seed}: ${late.join()} late`);
    assert.ok(fleet.hosts.every((host) => isOpen(host, "b")));
  }
}

test("writes confirmed after a restore to a lower revision take effect in time", async () => {
  await assertInTime({ lostWrites: 40, outageMs: 2500 });
  await assertInTime({ lostWrites: 40, outageMs: 0 });
});

test("writes after a restore take effect also at revisions that hosts already knew", async () => {
  for (let seed = 0; seed < SEEDS; seed++) {
    const fleet = new StateFleet(HOSTS, seed);
    const { store } = fleet;
    for (const entry of REPLICAS) store.putReplica(entry);
    store.publish(configOf(1));
    await fleet.runTo(STARTUP_MS + seed * 97);
    const backup = store.backUp();
    store.advanceRevision(5);
    await fleet.runTo(fleet.now + BACKUP_AGE_MS);
    // Written between two reads of any host; the revision then exceeds the old
    // one.
    store.restore(backup);
    store.publish(configOf(2));
    store.putReplica({ ...DRAINING, leaving: true });
    store.advanceRevision(20);
    await fleet.runTo(fleet.now + SETTLED_MS + IN_FORCE_MS);
    const late = fleet.hosts.filter((host) =>
      host.routes.version < 2 || isOpen(host, DRAINING.id)
    );
    assert.deepEqual(late.map(({ entry }) => entry.id), [], `Seed ${seed}`);
  }
});

test("writes confirmed after two restores within a second take effect in time", async () => {
  for (let seed = 0; seed < SEEDS; seed++) {
    const fleet = await createRestoredFleet({
      seed,
      outageMs: 0,
      lostWrites: 40,
    });
    const backup = fleet.store.backUp();
    fleet.store.advanceRevision(30);
    await fleet.runTo(fleet.now + 600);
    fleet.store.restore(backup);
    await fleet.runTo(fleet.now + SETTLED_MS);
    assert.deepEqual(await findLateHosts(fleet), [], `Seed ${seed}`);
  }
});

test("writes take effect in time after a restore of a store that reports no era", async () => {
  const writes = { lostWrites: 40, reportsEra: false };
  await assertInTime({ ...writes, outageMs: 2500 });
  await assertInTime({ ...writes, outageMs: 0 });
});

test("rejected and partitioned hosts adopt the new era from other hosts", async () => {
  for (let seed = 0; seed < SEEDS; seed++) {
    const fleet = new StateFleet(HOSTS, seed);
    const { store, hosts } = fleet;
    for (const entry of REPLICAS) store.putReplica(entry);
    store.publish(configOf(1));
    await fleet.runTo(STARTUP_MS + seed * 97);
    const backup = store.backUp();
    store.advanceRevision(40);
    const cutHall = hosts[seed % hosts.length]?.entry.hall;
    const isCut = (host: FleetHost) => host.entry.hall === cutHall;
    const rejected = hosts.filter((host, at) => at % 2 === 0 || isCut(host));
    await fleet.runTo(fleet.now + BACKUP_AGE_MS);
    for (const { entry } of rejected) store.setTreatment(entry.id, "silent");
    fleet.partition((from, to) => isCut(from) !== isCut(to));
    store.restore(backup);
    await fleet.runTo(fleet.now + SETTLED_MS);
    // The partitioned hall still has the old era's higher revision.
    fleet.partition(() => false);
    await fleet.runTo(fleet.now + SETTLED_MS);
    store.publish(configOf(3));
    store.putReplica({ ...DRAINING, leaving: true });
    await fleet.runTo(fleet.now + 2 * IN_FORCE_MS);
    const late = hosts.filter((host) =>
      host.routes.version < 3 || isOpen(host, DRAINING.id)
    );
    assert.deepEqual(late.map(({ entry }) => entry.id), [], `Seed ${seed}`);
  }
});

/**
 * Creates a fleet whose restored store lost version 2 and two replica changes.
 */
async function createFleetWithLoss(
  seed: number,
  routes = FEW,
): Promise<StateFleet> {
  const fleet = new StateFleet(HOSTS, seed);
  const { store } = fleet;
  for (const entry of REPLICAS) store.putReplica(entry);
  store.publish(configOf(1, routes));
  await fleet.runTo(STARTUP_MS + seed * 97);
  const backup = store.backUp();
  store.publish(configOf(2, routes));
  store.deleteReplica("b");
  store.putReplica(replicaEntry("new"));
  await fleet.runTo(fleet.now + BACKUP_AGE_MS);
  store.restore(backup);
  return fleet;
}

test("a replica that only the backup lists is unused, and state that it lacks is retained", async () => {
  for (let seed = 0; seed < SEEDS; seed++) {
    const fleet = await createFleetWithLoss(seed);
    const { store, hosts } = fleet;
    const restoredAt = fleet.now;
    const check = () => {
      const used = hosts.filter((host) => isOpen(host, "b"));
      const lost = hosts.filter((host) => !isOpen(host, "new"));
      const old = hosts.filter((host) => host.routes.version < 2);
      assert.deepEqual([used, lost, old].map((wrong) => wrong.length), [
        0,
        0,
        0,
      ]);
    };
    while (fleet.now < restoredAt + 1700) {
      await fleet.runTo(fleet.now + 50);
      check();
    }
    store.publish(configOf(2));
    store.deleteReplica("b");
    store.putReplica(replicaEntry("new"));
    while (fleet.now < restoredAt + 8000) {
      await fleet.runTo(fleet.now + 100);
      check();
    }
  }
});

test("a live replica that the backup lists is used again", async () => {
  const fleet = await createFleetWithLoss(3);
  await fleet.runTo(fleet.now + 6000);
  assert.ok(fleet.hosts.every((host) => isOpen(host, "b")));
});

test("no host considers its version the newest while the store may lack newer versions", async () => {
  for (let seed = 0; seed < SEEDS; seed++) {
    const fleet = await createFleetWithLoss(seed);
    const restoredAt = fleet.now;
    const asOf = ({ context, state }: FleetHost) =>
      context.clock.now() - state.configAgeMs(context.clock.now());
    while (fleet.now < restoredAt + 4000) {
      await fleet.runTo(fleet.now + 100);
      for (const host of fleet.hosts) assert.ok(asOf(host) <= restoredAt);
    }
    fleet.store.publish(configOf(2));
    await fleet.runTo(fleet.now + 3000);
    for (const host of fleet.hosts) {
      assert.ok(asOf(host) > restoredAt + 3000, `Seed ${seed}`);
    }
  }
});

test("a host that starts after a restore gets lost state from peers, and reports no configuration age before", async () => {
  for (let seed = 0; seed < SEEDS; seed++) {
    const fleet = await createFleetWithLoss(seed, seed % 2 === 0 ? FEW : MANY);
    const host = fleet.add();
    const startedAt = fleet.now;
    while (fleet.now < startedAt + 2000) {
      await fleet.runTo(fleet.now + 20);
      const age = host.state.configAgeMs(host.context.clock.now());
      assert.ok(host.routes.version >= 2 || age === Infinity, `Seed ${seed}`);
    }
    assert.equal(host.routes.version, 2, `Seed ${seed}`);
  }
});
