/** What a host believes after its machine was suspended, in virtual time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RouteConfig } from "../../../src/gateway/mod.ts";
import { SuspensionWatch } from "../../../src/gateway/suspension.ts";
import { routesOf } from "./routes_of.ts";
import { type FleetHost, StateFleet } from "./state_fleet.ts";

const FORMED_MS = 10_000;
/** A follower's word of the configuration is at most so old at rest. */
const RENEWED_MS = 4000;

function watch() {
  const clocks = { steady: 100, day: 5_000_000 };
  const told: number[] = [];
  const suspensions = new SuspensionWatch({
    steadyNow: () => clocks.steady,
    dayNow: () => clocks.day,
  });
  suspensions.listen((forMs) => told.push(forMs));
  const pass = (steadyMs: number, dayMs = steadyMs) => {
    clocks.steady += steadyMs;
    clocks.day += dayMs;
    return suspensions.check();
  };
  return { pass, told };
}

test("a time of day that runs ahead of the steady clock is a suspension", () => {
  for (const sleptMs of [500, 3000, 20_000]) {
    const { pass, told } = watch();
    assert.equal(pass(1000), 0);
    assert.equal(pass(10, 10 + sleptMs), 1);
    assert.equal(pass(1000), 1);
    assert.deepEqual(told, [sleptMs]);
  }
});

test("clocks that drift or a time of day that steps back are none", () => {
  const { pass, told } = watch();
  for (let second = 0; second < 3600; second++) pass(1000, 1000.5);
  pass(1000, -4000);
  pass(1000);
  assert.deepEqual(told, []);
});

function configOf(version: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: routesOf(1), services: [], limits };
}

/** The host of a role. */
function hostOf(fleet: StateFleet, role: string): FleetHost {
  const host = fleet.hosts.find((one) => fleet.roleOf(one) === role);
  assert.ok(host);
  return host;
}

for (const role of ["reader", "relay", "follower"]) {
  for (const sleptMs of [500, 3000, 20_000]) {
    test(`a ${role} that slept ${sleptMs} ms holds no word for fresher than it is`, async () => {
      const fleet = new StateFleet(9, sleptMs);
      fleet.store.publish(configOf(1));
      await fleet.runTo(FORMED_MS);
      const host = hostOf(fleet, role);
      const { clock, suspensions } = host.context;
      const ageMs = () => {
        suspensions.check();
        return host.state.configAgeMs(clock.now());
      };
      assert.ok(ageMs() < RENEWED_MS);
      fleet.suspend(host, sleptMs);
      // What waits for the host at its wake was told just before the change.
      await fleet.runTo(FORMED_MS + sleptMs - 1);
      fleet.store.publish(configOf(2));
      const changedAt = fleet.now;
      for (let at = FORMED_MS + sleptMs; at < FORMED_MS + sleptMs + 500; at++) {
        await fleet.runTo(at);
        const isOld = host.routes.version < 2;
        const asOf = fleet.now - ageMs();
        assert.ok(!isOld || asOf <= changedAt, `${at}: ${asOf}`);
      }
      await fleet.runTo(FORMED_MS + sleptMs + RENEWED_MS);
      assert.ok(ageMs() < RENEWED_MS);
      assert.equal(host.routes.version, 2);
    });
  }
}
