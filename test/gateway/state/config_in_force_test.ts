/**
 * Tests that a configuration takes effect in time at every host that the store
 * serves, also if the store rejects the relay or reader that the host follows.
 * Guards against relays that announce only versions that they have fetched
 * themselves.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import type { Treatment } from "./fleet_store.ts";
import { routesOf } from "./routes_of.ts";
import { StateFleet } from "./state_fleet.ts";

/** Time within which a confirmed version has to take effect. */
const IN_FORCE_MS = 2000;
/** Routes of a configuration that is too large to be sent over links. */
const LARGE = 400;
/** Routes of a configuration that is sent over links. */
const SMALL = 3;
const SEEDS = 20;
const STARTUP_MS = 6000;

function configOf(version: number, routes: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(routes), services: [], limits };
}

type Scenario = {
  readonly seed: number;
  readonly hosts: number;
  readonly routes: number;
  readonly treatment: Treatment;
  /** Whether to measure the hosts that the store rejects, too. */
  readonly includesRejected?: boolean;
  /** Whether the store rejects a host. */
  isRejected(role: string, at: number): boolean;
};

/** Time until a version takes effect at each measured host. */
async function measureLateness(
  scenario: Scenario,
): Promise<Map<string, number>> {
  const fleet = new StateFleet(scenario.hosts, scenario.seed);
  fleet.store.publish(configOf(1, scenario.routes));
  const startAt = STARTUP_MS + scenario.seed * 97;
  await fleet.runTo(startAt);
  const rejected = fleet.hosts.filter((host, at) =>
    scenario.isRejected(fleet.roleOf(host), at)
  );
  assert.ok(rejected.length > 0 && rejected.length < scenario.hosts);
  for (const { entry } of rejected) {
    fleet.store.setTreatment(entry.id, scenario.treatment);
  }
  await fleet.runTo(startAt + 500);
  fleet.store.publish(configOf(2, scenario.routes));
  const confirmedAt = fleet.now;
  await fleet.runTo(confirmedAt + 3 * IN_FORCE_MS);
  const measured = fleet.hosts.filter((host) =>
    scenario.includesRejected === true || !rejected.includes(host)
  );
  return new Map(
    measured.map(({ entry, adoptedAt }) => [
      entry.id,
      (adoptedAt.get(2) ?? Infinity) - confirmedAt,
    ]),
  );
}

async function assertInTime(scenario: Omit<Scenario, "seed">): Promise<void> {
  for (let seed = 0; seed < SEEDS; seed++) {
    const lateness = await measureLateness({ ...scenario, seed });
    for (const [host, ms] of lateness) {
      assert.ok(ms <= IN_FORCE_MS, `Seed ${seed}: ${host} after ${ms} ms`);
    }
  }
}

const isRelay = (role: string) => role === "relay";

test("a large configuration takes effect in time behind a relay that the store rejects", async () => {
  for (const treatment of ["reset", "silent"] as const) {
    await assertInTime({
      hosts: 8,
      routes: LARGE,
      treatment,
      isRejected: isRelay,
    });
  }
});

test("a small configuration takes effect in time behind a relay that the store rejects", async () => {
  await assertInTime({
    hosts: 8,
    routes: SMALL,
    treatment: "reset",
    isRejected: isRelay,
  });
});

test("a large configuration takes effect in time while the store rejects the reader", async () => {
  for (const treatment of ["reset", "silent"] as const) {
    await assertInTime({
      hosts: 8,
      routes: LARGE,
      treatment,
      isRejected: (role) => role === "reader",
    });
  }
});

test("a large configuration takes effect in time at hosts that the store rejects", async () => {
  const fleet = { hosts: 8, routes: LARGE, includesRejected: true } as const;
  for (const treatment of ["reset", "silent"] as const) {
    await assertInTime({
      ...fleet,
      treatment,
      isRejected: (_role, at) => at % 3 === 0,
    });
    await assertInTime({
      ...fleet,
      treatment,
      isRejected: (role, at) => isRelay(role) || at % 4 === 0,
    });
  }
});

test("a large configuration takes effect in time in a fleet of 88, a third of them rejected", async () => {
  const lateness = await measureLateness({
    seed: 1,
    hosts: 88,
    routes: LARGE,
    treatment: "silent",
    includesRejected: true,
    isRejected: (_role, at) => at % 3 === 0,
  });
  assert.equal(lateness.size, 88);
  for (const ms of lateness.values()) assert.ok(ms <= IN_FORCE_MS, String(ms));
});
