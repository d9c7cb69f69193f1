/** The hosts of a simulated fleet. */
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import type { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import type { ListingPacer } from "../../../src/gateway/peers/listing_pacer.ts";
import type { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import type { FleetState } from "../../../src/gateway/state/fleet_state.ts";
import { HostOrders } from "../../../src/gateway/peers/host_order.ts";
import { chooseReader } from "../../../src/gateway/state/reader_choice.ts";
import type { FleetStoreLimits } from "./fleet_store.ts";

/** Options of a simulated fleet. */
export type StateFleetOptions = {
  /** Whether the store names its era. */
  readonly reportsEra?: boolean;
  readonly limits?: FleetStoreLimits;
  /** Whether the hosts know each other at their start, or only seeds. */
  readonly knowsAll?: boolean;
};

/** One host of the fleet. */
export type FleetHost = {
  readonly entry: HostEntry;
  readonly routes: RouteTable;
  readonly directory: HostDirectory;
  readonly context: GatewayContext;
  readonly state: FleetState;
  /** When each configuration version came into force. */
  readonly adoptedAt: Map<number, number>;
  readonly suspension: Suspension;
  /** Paces the listings that it sends to peers. */
  readonly listings: ListingPacer;
};

/** When a host's suspension ends, and the total time that it was suspended. */
export type Suspension = { until: number; totalMs: number };

/** A seeded random number generator, which makes runs reproducible. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0;
    return state / 2 ** 32;
  };
}

/** Reader of the fleet, relay of a hall, or follower. */
export type FleetRole = "reader" | "relay" | "follower";

/** The role of a host among all hosts of a fleet. */
export function roleIn(
  entries: readonly HostEntry[],
  self: HostEntry,
): FleetRole {
  const reader = chooseReader({
    self,
    hosts: entries.filter((other) => other.id !== self.id),
    orders: new HostOrders(self),
    isSuspect: () => false,
  });
  if (reader === self.id) return "reader";
  const hall = entries.find((other) => other.id === reader)?.hall;
  return hall === self.hall ? "follower" : "relay";
}

/** Encodes a message, as a host without digests if it is of an earlier version. */
export function encodeLine(message: object, isEarlier: boolean): string {
  if (!isEarlier) return JSON.stringify(message);
  return JSON.stringify(
    message,
    (key, value) => key === "digest" ? undefined : value as unknown,
  );
}

/** The address of a host by its number. */
export function addressOf(at: number): string {
  return `10.0.${at >> 8}.${at & 255}:1`;
}

/** The host at an address. */
export function hostAt(
  hosts: readonly FleetHost[],
  address: string,
): FleetHost {
  const host = hosts.find(({ entry }) => entry.address === address);
  if (!host) throw new Error(`No host at "${address}"`);
  return host;
}

/** The host with an id. */
export function hostOf(hosts: readonly FleetHost[], id: string): FleetHost {
  const host = hosts.find(({ entry }) => entry.id === id);
  if (!host) throw new Error(`No host "${id}"`);
  return host;
}
