/** Fleets of hundreds of hosts before thousands of replicas, in virtual time. */
import assert from "node:assert/strict";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import { replicaEntry } from "../replica_entry.ts";
import { routesOf } from "./routes_of.ts";
import { StateFleet } from "./state_fleet.ts";

/** Replicas for each host. */
export const REPLICAS_PER_HOST = 10;
/** The platform's limits. */
export const LIMITS = { callsPerSecond: 2000, pageRows: 500, pageMs: 0.3 };

/** The entry of a replica by its number. */
export function entryOf(at: number, coldMs = 0): ReplicaEntry {
  return replicaEntry(`i-${at}`, {
    service: `service-${at % 3}`,
    address: `10.0.${at >> 8}.${at & 255}:8080`,
    hall: `hall-${at % 3}`,
    slots: 64,
    coldMs,
  });
}

/** A fleet whose store has a configuration and all replicas. */
export function createLargeFleet(
  size: number,
  { knowsAll = true } = {},
): StateFleet {
  const fleet = new StateFleet(size, 1, { limits: LIMITS, knowsAll });
  const { store } = fleet;
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  store.publish({ version: 1, routes: routesOf(2), services: [], limits });
  for (let at = 0; at < size * REPLICAS_PER_HOST; at++) {
    store.putReplica(entryOf(at));
  }
  return fleet;
}

/** Time in which all hosts serve after a start. */
export const STARTUP_MS = 5000;
/** Time over which a fleet at rest is observed. */
export const CALM_MS = 10_000;
/** What a host may send and receive for control. */
export const CONTROL_BYTES_PER_SECOND = 29_000;

/** A fleet that starts while replicas write their heartbeats. */
export function startFleet(size: number, { knowsAll = true } = {}): StateFleet {
  const fleet = createLargeFleet(size, { knowsAll });
  const { store } = fleet;
  for (let at = 20; at < STARTUP_MS; at += 20) {
    fleet.at(at, () => store.advanceRevision(3));
  }
  return fleet;
}

/** The number of calls to the store. */
export function callsTo({ store }: StateFleet): number {
  return [...store.calls.values()].reduce((sum, count) => sum + count, 0);
}

/** All hosts can serve, and none has sent or received many listings. */
export function assertServing({ hosts, traffic }: StateFleet): void {
  const count = hosts.length * REPLICAS_PER_HOST;
  for (const { context, routes, entry } of hosts) {
    assert.equal(context.replicas.size, count, entry.id);
    assert.equal(routes.version, 1, entry.id);
  }
  const listing = hosts[0]?.context.replicas.entries();
  const { bytes } = traffic.busiest;
  const maxBytes = 10 * JSON.stringify(listing).length;
  assert.ok(bytes <= maxBytes, `${bytes} bytes`);
}

/** The calls don't grow with the fleet, nor do bytes exceed what is allowed. */
export async function assertCalm(fleet: StateFleet): Promise<void> {
  fleet.store.calls.clear();
  fleet.traffic.reset();
  await fleet.runTo(fleet.now + CALM_MS);
  const calls = callsTo(fleet);
  assert.ok(calls <= 5 * CALM_MS / 1000, `${calls} calls`);
  const perSecond = fleet.traffic.busiest.bytes * 1000 / CALM_MS;
  assert.ok(perSecond <= CONTROL_BYTES_PER_SECOND, `${perSecond} bytes/s`);
}
