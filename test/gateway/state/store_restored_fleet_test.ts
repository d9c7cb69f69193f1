/** Fleets whose store comes back from copies at any moment, in virtual time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand";
import { draw } from "../../../src/util/chance.ts";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import { replicaEntry } from "../replica_entry.ts";
import { routesOf } from "./routes_of.ts";
import { StateFleet } from "./state_fleet.ts";

const FORMED_MS = 8000;
/** What was lost is written again by then. */
const AGAIN_MS = 1500;
const CALM_MS = 6000;
const SEEDS = 40;
const STEPS = 25;

function configOf(version: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(2), services: [], limits };
}

/** The operator and the replicas, who write again what the store has lost. */
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
    this.#fleet.store.list(replicaEntry(id));
  }

  end(id: string): void {
    this.live.delete(id);
    this.#fleet.store.unlist(id);
  }

  writeAgain(): void {
    const { store } = this.#fleet;
    store.publish(configOf(this.version));
    for (const id of this.#known) {
      if (this.live.has(id)) store.list(replicaEntry(id));
      else store.unlist(id);
    }
  }
}

test("whatever is lost and written again, all hosts come to what the writers say, and none goes back", async () => {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const random = xoroshiro128plus(seed);
    const tellsEra = seed % 4 !== 0;
    const fleet = new StateFleet(7, seed, { tellsEra });
    const { store, hosts } = fleet;
    const writers = new Writers(fleet);
    writers.publish();
    for (const id of ["a", "b", "c"]) writers.start(id);
    await fleet.runTo(FORMED_MS);
    let copy = store.copy();
    const newest = new Map<string, number>();
    for (let step = 0; step < STEPS; step++) {
      const host = hosts[draw(random, hosts.length)];
      assert.ok(host);
      const id = `r${draw(random, 5)}`;
      switch (draw(random, 8)) {
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
          store.pass(draw(random, 20));
          break;
        case 4:
          copy = store.copy();
          break;
        case 5:
          store.restore(copy);
          await fleet.runTo(fleet.now + draw(random, AGAIN_MS));
          writers.writeAgain();
          copy = store.copy();
          break;
        case 6:
          store.treat(host.entry.id, "reset");
          break;
        default:
          for (const { entry } of hosts) store.treat(entry.id, "served");
      }
      await fleet.runTo(fleet.now + draw(random, 1200));
      for (const { entry, routes } of hosts) {
        const before = newest.get(entry.id) ?? 0;
        assert.ok(routes.version >= before, `Seed ${seed}: ${entry.id}`);
        newest.set(entry.id, routes.version);
      }
    }
    for (const { entry } of hosts) store.treat(entry.id, "served");
    await fleet.runTo(fleet.now + CALM_MS);
    for (const { entry, routes, context } of hosts) {
      const open = context.replicas.openOf("s").map((one) => one.entry.id);
      const at = `Seed ${seed}: ${entry.id}`;
      assert.equal(routes.version, writers.version, at);
      assert.deepEqual(open.sort(), [...writers.live].sort(), at);
    }
  }
});

test("a store that comes back without being away is listed by few of 88 hosts", async () => {
  const fleet = new StateFleet(88, 5);
  const { store } = fleet;
  store.publish(configOf(1));
  for (const id of ["a", "b", "c"]) store.list(replicaEntry(id));
  await fleet.runTo(FORMED_MS);
  const copy = store.copy();
  store.pass(20);
  await fleet.runTo(fleet.now + 3000);
  const before = store.calls.get("replicas") ?? 0;
  await fleet.runTo(fleet.now + 4000);
  const usual = (store.calls.get("replicas") ?? 0) - before;
  store.restore(copy);
  const restoredAt = store.calls.get("replicas") ?? 0;
  await fleet.runTo(fleet.now + 4000);
  const after = (store.calls.get("replicas") ?? 0) - restoredAt;
  assert.ok(after <= 2 * usual + 3, `${usual} calls before, ${after} after`);
});
