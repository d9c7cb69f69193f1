/** The tables of one entry host. */
import { type RandomGenerator, xoroshiro128plus } from "pure-rand";
import type { AttemptId, RequestId } from "./request_ids.ts";
import type {
  HallId,
  HostId,
  PoolId,
  RegionId,
  ServiceId,
  UpstreamId,
} from "../util/ids.ts";
import type { Milliseconds } from "../util/units.ts";
import type { LogLine, Order } from "./orders.ts";
import { DEFAULT_OPTIONS, type Mechanism, type Options } from "./options.ts";
import type { HostList } from "../messages/peer.ts";
import type { Host } from "./tables/hosts.ts";
import type { Upstream } from "./tables/upstreams.ts";
import type { Attempt, Release, Request } from "./tables/requests.ts";
import { emptySettings, type Settings } from "./tables/settings.ts";
import { emptyPlans, type Plans } from "./tables/plans.ts";
import type { KeyRecord, Registration } from "./tables/keys.ts";
import type { Claim, TableCall } from "./tables/claims.ts";
import type { Lease, Pressure, Turn } from "./tables/turns.ts";
import { type Policy, predictedCost } from "./policies/mod.ts";

/** Who this host is. */
export type Self = {
  readonly id: HostId;
  readonly hall: HallId;
  readonly region: RegionId;
  /** Rises with each start of the process. */
  readonly incarnation: number;
};

/** When periodic work is next due. */
export type Schedule = {
  gossip: Milliseconds;
  list: Milliseconds;
  settings: Milliseconds;
};

/** What membership comes to for a moment; worked out anew when it changes. */
export type View = {
  /** Worked out again from then on. */
  until: Milliseconds;
  /** Live hosts of this region, this one included. */
  live: HostId[];
  /** Planners found so far, by pool. */
  readonly planners: Map<PoolId, HostId>;
};

/** The whole state of one entry host's core. */
export type World = {
  readonly self: Self;
  readonly options: Options;
  readonly policy: Policy;
  readonly random: RandomGenerator;
  readonly schedule: Schedule;
  readonly view: View;
  /** Upstreams of this region by pool, and each service's pools. */
  readonly pools: Map<PoolId, Upstream[]>;
  readonly services: Map<ServiceId, PoolId[]>;
  list: HostList;
  readonly hosts: Map<HostId, Host>;
  readonly upstreams: Map<UpstreamId, Upstream>;
  readonly settings: Settings;
  readonly requests: Map<RequestId, Request>;
  /** Requests that ended in this step; each part lets go of its share. */
  ended: Request[];
  readonly attempts: Map<AttemptId, Attempt>;
  readonly releases: Map<string, Release>;
  readonly plans: Plans;
  readonly keys: Map<string, KeyRecord>;
  readonly registrations: Map<string, Registration>;
  readonly claims: Map<string, Claim>;
  readonly leases: Map<PoolId, Lease>;
  readonly turns: Map<PoolId, Turn>;
  readonly pressures: Map<PoolId, Pressure>;
  readonly calls: Map<number, TableCall>;
  nextCall: number;
  /** When the platform last answered, and last failed to. */
  platformOkAt: Milliseconds;
  platformLostAt: Milliseconds;
  /** Tokens of the retry budget. */
  retryTokens: number;
  /** When the last tick came: a long gap means that the process stood still. */
  tickedAt: Milliseconds;
  /** This host was asked to stop. */
  stopping: boolean;
  stopped: boolean;
  readonly counters: Map<string, number>;
  /** A request has entered a phase, so that the parts must look at it. */
  changed: boolean;
  /** Orders made so far in this step. */
  orders: Order[];
};

/** What is needed to make a world. */
export type WorldSource = {
  readonly self: Self;
  readonly seed: number;
  readonly options?: Partial<Options>;
  readonly policy?: Policy;
};

/** Makes the world of a host that has just started. */
export function createWorld(source: WorldSource): World {
  return {
    self: source.self,
    options: { ...DEFAULT_OPTIONS, ...source.options },
    policy: source.policy ?? predictedCost,
    random: xoroshiro128plus(source.seed),
    schedule: { gossip: 0, list: 0, settings: 0 },
    view: { until: 0, live: [], planners: new Map() },
    pools: new Map(),
    services: new Map(),
    list: { revision: 0, entries: [] },
    hosts: new Map(),
    upstreams: new Map(),
    settings: emptySettings(),
    requests: new Map(),
    ended: [],
    changed: false,
    attempts: new Map(),
    releases: new Map(),
    plans: emptyPlans(),
    keys: new Map(),
    registrations: new Map(),
    claims: new Map(),
    leases: new Map(),
    turns: new Map(),
    pressures: new Map(),
    calls: new Map(),
    nextCall: 1,
    platformOkAt: 0,
    platformLostAt: -Infinity,
    retryTokens: 10,
    tickedAt: 0,
    stopping: false,
    stopped: false,
    counters: new Map(),
    orders: [],
  };
}

/** Whether a mechanism is on; tests turn some off. */
export function enabled(world: World, mechanism: Mechanism): boolean {
  return !world.options.disabled.has(mechanism);
}

/** Adds an order to this step's. */
export function order(world: World, one: Order): void {
  world.orders.push(one);
}

/** Adds a log line to this step's orders. */
export function log(world: World, line: Omit<LogLine, "type">): void {
  world.orders.push({ type: "log", ...line });
}

/** Adds to a counter. */
export function count(world: World, name: string, by = 1): void {
  world.counters.set(name, (world.counters.get(name) ?? 0) + by);
}
