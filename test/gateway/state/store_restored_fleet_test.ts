/** Tests fleets whose store is restored at random times, in virtual time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../../src/util/random.ts";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import { replicaEntry } from "../replica_entry.ts";
import { routesOf } from "./routes_of.ts";
import { StateFleet } from "./state_fleet.ts";

const STARTUP_MS = 8000;
/** Maximum time until lost writes are repeated. */
const REWRITE_MS = 1500;
const SETTLED_MS = 6000;
const SEEDS = 40;
const STEPS = 25;

function configOf(version: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(2), services: [], limits };
}

/** Simulates the operator and the replicas, which repeat lost writes. */
class Writers {
  readonly #fleet: StateFleet;
  readonly live = new Set<string>();
  readonly #known = new Set<string>();
  version = 0;

  constructor(fleet: StateFleet) {
    this.#fleet = fleet;
  }

  publish(): void {
    this.version += 1;
    this.#fleet.store.publish(configOf(this.version));
  }

  start(id: string): void {
    this.live.add(id);
    this.#known.add(id);
    this.#fleet.store.putReplica(replicaEntry(id));
  }

  end(id: string): void {
    this.live.delete(id);
    this.#fleet.store.deleteReplica(id);
  }

  rewriteAll(): void {
    const { store } = this.#fleet;
    store.publish(configOf(this.version));
    for (const id of this.#known) {
      if (this.live.has(id)) store.putReplica(replicaEntry(id));
      else store.deleteReplica(id);
    }
  }
}

test("after random restores all hosts converge to the writers' state, and none reverts to an older version", async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = xoroshiro128plus(seed);
    const reportsEra = seed % 4 !== 0;
    const fleet = new StateFleet(7, seed, { reportsEra });
    const { store, hosts } = fleet;
    const writers = new Writers(fleet);
    writers.publish();
    for (const id of ["a", "b", "c"]) writers.start(id);
    await fleet.runTo(STARTUP_MS);
    let backup = store.backUp();
    const newest = new Map<string, number>();
    for (let step = 0; step < STEPS; step++) {
      const host = hosts[randomInt(random, hosts.length)];
      assert.ok(host);
      const id = `r${randomInt(random, 5)}`;
      switch (randomInt(random, 8)) {
        case 0:
          writers.publish();
          break;
        case 1:
          writers.start(id);
          break;
        case 2:
          writers.end(id);
          break;
        case 3:
          store.advanceRevision(randomInt(random, 20));
          break;
        case 4:
          backup = store.backUp();
          break;
        case 5:
          store.restore(backup);
          await fleet.runTo(fleet.now + randomInt(random, REWRITE_MS));
          writers.rewriteAll();
          backup = store.backUp();
          break;
        case 6:
          store.setTreatment(host.entry.id, "reset");
          break;
        default:
          for (const { entry } of hosts) store.setTreatment(entry.id, "served");
      }
      await fleet.runTo(fleet.now + randomInt(random, 1200));
      for (const { entry, routes } of hosts) {
        const before = newest.get(entry.id) ?? 0;
        assert.ok(routes.version >= before, `Seed ${seed}: ${entry.id}`);
        newest.set(entry.id, routes.version);
      }
    }
    for (const { entry } of hosts) store.setTreatment(entry.id, "served");
    await fleet.runTo(fleet.now + SETTLED_MS);
    for (const { entry, routes, context } of hosts) {
      const open = context.replicas.openReplicasOf("s").map((replica) =>
        replica.entry.id
      );
      const at = `Seed ${seed}: ${entry.id}`;
      assert.equal(routes.version, writers.version, at);
      assert.deepEqual(open.sort(), [...writers.live].sort(), at);
    }
  }
});

test("few of 88 hosts list the replicas after a restore without an outage", async () => {
  const fleet = new StateFleet(88, 5);
  const { store } = fleet;
  store.publish(configOf(1));
  for (const id of ["a", "b", "c"]) store.putReplica(replicaEntry(id));
  await fleet.runTo(STARTUP_MS);
  const backup = store.backUp();
  store.advanceRevision(20);
  await fleet.runTo(fleet.now + 3000);
  const before = store.calls.get("replicas") ?? 0;
  await fleet.runTo(fleet.now + 4000);
  const normal = (store.calls.get("replicas") ?? 0) - before;
  store.restore(backup);
  const restoredAt = store.calls.get("replicas") ?? 0;
  await fleet.runTo(fleet.now + 4000);
  const after = (store.calls.get("replicas") ?? 0) - restoredAt;
  assert.ok(after <= 2 * normal + 3, `${normal} calls before, ${after} after`);
});
