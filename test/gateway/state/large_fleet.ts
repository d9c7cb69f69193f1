/** Fleets of hundreds of hosts before thousands of replicas, in virtual time. */
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
