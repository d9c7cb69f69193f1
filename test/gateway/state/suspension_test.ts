/**
 * Tests how old a host considers its state after a suspension, in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import { SuspensionWatch } from "../../../src/gateway/suspension.ts";
import { routesOf } from "./routes_of.ts";
import { type FleetHost, StateFleet } from "./state_fleet.ts";

const STARTUP_MS = 10_000;
/** Maximum age of the configuration at any host of an idle fleet. */
const MAX_AGE_MS = 4000;

function createWatch() {
  const clocks = { steady: 100, day: 5_000_000 };
  const suspendedMs: number[] = [];
  const suspensions = new SuspensionWatch({
    monotonicNow: () => clocks.steady,
    wallClockNow: () => clocks.day,
  });
  suspensions.addListener((forMs) => suspendedMs.push(forMs));
  const advance = (steadyMs: number, dayMs = steadyMs) => {
    clocks.steady += steadyMs;
    clocks.day += dayMs;
    return suspensions.check();
  };
  return { advance, suspendedMs };
}

test("a wall clock that runs ahead of the steady clock indicates a suspension", () => {
  for (const durationMs of [500, 3000, 20_000]) {
    const { advance, suspendedMs } = createWatch();
    assert.equal(advance(1000), 0);
    assert.equal(advance(10, 10 + durationMs), 1);
    assert.equal(advance(1000), 1);
    assert.deepEqual(suspendedMs, [durationMs]);
  }
});

test("clock drift and a wall clock that steps back indicate no suspension", () => {
  const { advance, suspendedMs } = createWatch();
  for (let second = 0; second < 3600; second++) advance(1000, 1000.5);
  advance(1000, -4000);
  advance(1000);
  assert.deepEqual(suspendedMs, []);
});

function configOf(version: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(1), services: [], limits };
}

/** The first host with a role. */
function hostWithRole(fleet: StateFleet, role: string): FleetHost {
  const host = fleet.hosts.find((candidate) =>
    fleet.roleOf(candidate) === role
  );
  assert.ok(host);
  return host;
}

for (const role of ["reader", "relay", "follower"]) {
  for (const durationMs of [500, 3000, 20_000]) {
    test(`a ${role} suspended for ${durationMs} ms does not underestimate the age of its configuration`, async () => {
      const fleet = new StateFleet(9, durationMs);
      fleet.store.publish(configOf(1));
      await fleet.runTo(STARTUP_MS);
      const host = hostWithRole(fleet, role);
      const { clock, suspensions } = host.context;
      const ageMs = () => {
        suspensions.check();
        return host.state.configAgeMs(clock.now());
      };
      assert.ok(ageMs() < MAX_AGE_MS);
      fleet.suspend(host, durationMs);
      // Messages waiting for the resumed host were sent just before this
      // change.
      await fleet.runTo(STARTUP_MS + durationMs - 1);
      fleet.store.publish(configOf(2));
      const changedAt = fleet.now;
      for (
        let at = STARTUP_MS + durationMs;
        at < STARTUP_MS + durationMs + 500;
        at++
      ) {
        await fleet.runTo(at);
        const isOld = host.routes.version < 2;
        const asOf = fleet.now - ageMs();
        assert.ok(!isOld || asOf <= changedAt, `${at}: ${asOf}`);
      }
      await fleet.runTo(STARTUP_MS + durationMs + MAX_AGE_MS);
      assert.ok(ageMs() < MAX_AGE_MS);
      assert.equal(host.routes.version, 2);
    });
  }
}

/** The highest age of the configuration at any host in the next time. */
async function highestAgeMs(fleet: StateFleet, forMs: number): Promise<number> {
  let highest = 0;
  for (const end = fleet.now + forMs; fleet.now < end;) {
    await fleet.runTo(fleet.now + 100);
    for (const { state, context } of fleet.hosts) {
      context.suspensions.check();
      highest = Math.max(highest, state.configAgeMs(context.clock.now()));
    }
  }
  return highest;
}

/** Suspensions during which followers stay with the suspended host. */
const KEPT_SUSPENSIONS = [
  { role: "relay", durationMs: 900, treatment: "served" },
  { role: "reader", durationMs: 3000, treatment: "reset" },
] as const;

// Guards against offsets of a suspended host's clock that stay in use.
for (const { role, durationMs, treatment } of KEPT_SUSPENSIONS) {
  test(`followers of a ${role} suspended for ${durationMs} ms soon know the age of their configuration again`, async () => {
    for (let seed = 1; seed <= 8; seed++) {
      const fleet = new StateFleet(9, seed);
      const { store, hosts } = fleet;
      store.publish(configOf(1));
      await fleet.runTo(STARTUP_MS + seed * 137);
      const usualMs = await highestAgeMs(fleet, 10_000);
      const host = hostWithRole(fleet, role);
      fleet.suspend(host, durationMs);
      for (const { entry } of hosts) {
        if (entry !== host.entry) store.setTreatment(entry.id, treatment);
      }
      await fleet.runTo(fleet.now + durationMs + MAX_AGE_MS);
      const ageMs = await highestAgeMs(fleet, 10_000);
      assert.ok(ageMs <= usualMs + 200, `seed ${seed}: ${usualMs}, ${ageMs}`);
    }
  });
}
