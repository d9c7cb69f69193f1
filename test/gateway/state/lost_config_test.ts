/**
 * Tests that all hosts get a configuration that a restore lost and nobody writes
 * again, in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import type { FleetRole } from "./fleet_host.ts";
import { routesOf } from "./routes_of.ts";
import { StateFleet } from "./state_fleet.ts";

const STARTUP_MS = 8000;
const SETTLED_MS = 8000;
const SEEDS = 10;
/** Routes of a configuration that is sent over links, and of a larger one. */
const SIZES = [3, 400];

function configOf(version: number, routes: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(routes), services: [], limits };
}

/** A fleet in which only one host has version 2, which the store has lost. */
async function createFleet(
  { seed, role, routes }: {
    readonly seed: number;
    readonly role: FleetRole;
    readonly routes: number;
  },
): Promise<StateFleet> {
  const fleet = new StateFleet(9, seed);
  const { store, hosts } = fleet;
  store.publish(configOf(1, routes));
  await fleet.runTo(STARTUP_MS + seed * 97);
  const backup = store.backUp();
  const host = hosts.find((host) => fleet.roleOf(host) === role);
  assert.ok(host);
  for (const { entry } of hosts) {
    if (entry !== host.entry) store.setTreatment(entry.id, "reset");
  }
  fleet.partition((from, to) => from === host || to === host);
  await fleet.runTo(fleet.now + 4000);
  store.publish(configOf(2, routes));
  await fleet.runTo(fleet.now + 500);
  assert.deepEqual(
    hosts.filter(({ routes }) => routes.version === 2),
    [host],
  );
  store.restore(backup);
  for (const { entry } of hosts) store.setTreatment(entry.id, "served");
  fleet.partition(() => false);
  await fleet.runTo(fleet.now + SETTLED_MS);
  return fleet;
}

for (const role of ["reader", "relay", "follower"] as const) {
  for (const routes of SIZES) {
    test(`a version of ${routes} routes that only a ${role} has reaches all hosts`, async () => {
      for (let seed = 1; seed <= SEEDS; seed++) {
        const { hosts } = await createFleet({ seed, role, routes });
        const versions = hosts.map((host) => host.routes.version);
        assert.deepEqual(versions, hosts.map(() => 2), `seed ${seed}`);
      }
    });
  }
}

test("a version that a follower gets while it is linked reaches all hosts", async () => {
  const fleet = new StateFleet(9, 1);
  fleet.store.publish(configOf(1, 3));
  await fleet.runTo(STARTUP_MS);
  const follower = fleet.hosts.find((host) =>
    fleet.roleOf(host) === "follower"
  );
  follower?.routes.adopt(configOf(2, 3));
  await fleet.runTo(fleet.now + 3000);
  const versions = fleet.hosts.map((host) => host.routes.version);
  assert.deepEqual(versions, fleet.hosts.map(() => 2));
  // The reader and the relay hear of it once.
  assert.equal(fleet.traffic.kinds.get("sync")?.messages, 2);
});

test("hosts at the same version send no word of it", async () => {
  const fleet = new StateFleet(9, 1);
  fleet.store.publish(configOf(1, 3));
  await fleet.runTo(STARTUP_MS);
  fleet.traffic.reset();
  for (let version = 2; version < 12; version++) {
    fleet.store.publish(configOf(version, 3));
    await fleet.runTo(fleet.now + 400);
  }
  assert.equal(fleet.traffic.kinds.get("sync"), undefined);
});
