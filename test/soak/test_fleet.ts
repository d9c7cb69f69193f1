/**
 * Runs a fleet of host processes with stand-ins for store and replicas, and
 * callers at all hosts.
 */
import assert from "node:assert/strict";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import type { ReplicaStandin } from "../platform/replica_standin.ts";
import { CallKind, type CallResult } from "./call.ts";
import {
  callHost,
  checkReadiness,
  createHosts,
  type FleetHost,
  readGauge,
  readRoutesVersion,
  stopHosts,
} from "./fleet.ts";
import { sleep } from "./sleep.ts";
import { StallMeter } from "./stall_meter.ts";
import { World } from "./world.ts";
import { EVEN_LOAD } from "./world_config.ts";

/** The age from which on a host has its share of the fleet's retry budget. */
export const BUDGET_AGE_MS = 10_500;
const HOSTS = 4;
const CALLERS_PER_HOST = 5;
const MIN_PAUSE_MS = 20;
const PAUSE_RANGE_MS = 200;
const POLL_INTERVAL_MS = 200;
/** Requests of a kind in a row that show that a host serves it. */
const SERVED_IN_A_ROW = CALLERS_PER_HOST;
/** Upper bound of each wait for a state of the fleet. */
const STATE_TIMEOUT_MS = 60_000;

/** Host processes and the stand-ins around them. */
export type TestFleet = {
  readonly world: World;
  readonly hosts: readonly FleetHost[];
};

/** Starts a fleet, runs `work` and stops the fleet; keeps its logs on failure. */
export async function withFleet(
  work: (fleet: TestFleet) => Promise<void>,
  {
    hosts: hostCount = HOSTS,
    isScheduled = false,
    connectionLimit,
    routeTimeoutMs,
  }: {
    readonly hosts?: number;
    /** The timeout of all routes. */
    readonly routeTimeoutMs?: number;
    /** Connections that each replica accepts from all hosts. */
    readonly connectionLimit?: number;
    /** Switches on all optional decisions under load, and bounds on memory. */
    readonly isScheduled?: boolean;
  } = {},
): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "otterhill-fleet-"));
  const world = await World.start({
    ...EVEN_LOAD,
    ...(connectionLimit === undefined ? {} : { connectionLimit }),
    ...(routeTimeoutMs === undefined ? {} : { routeTimeoutMs }),
  });
  const storeAddress = world.store.address;
  const hosts = await createHosts(hostCount, {
    folder,
    storeAddress,
    isScheduled,
  });
  const stalls = new StallMeter();
  let hasPassed = false;
  try {
    for (const { process } of hosts) process.start();
    for (const host of hosts) await waitUntilServing(host, world.version);
    const fleet = { world, hosts };
    await waitUntil(
      () => reportsAtAll(fleet, "hosts_known", hostCount),
      "all hosts know each other",
    );
    await work(fleet);
    hasPassed = true;
  } finally {
    const delays = stalls.end();
    await stopHosts(hosts);
    world.stop();
    if (hasPassed) rmSync(folder, { recursive: true });
    else {
      console.error(`Logs of the hosts: ${folder}`);
      console.error(`Delays of the test's event loop: ${delays}`);
    }
  }
}

/**
 * Resolves when a host uses this version of the routes and is ready, as the load
 * balancer waits for it.
 */
export async function waitUntilServing(
  host: FleetHost,
  version: number,
): Promise<void> {
  await waitUntil(async () => {
    await checkReadiness(host);
    const isReady = host.failedChecks === 0;
    return isReady && await readRoutesVersion(host) === version;
  }, `${host.process.name} serves`);
}

/** Resolves when a condition holds, and fails if it doesn't in time. */
export async function waitUntil(
  condition: () => Promise<boolean>,
  what: string,
): Promise<void> {
  const deadline = performance.now() + STATE_TIMEOUT_MS;
  while (!await condition()) {
    assert.ok(performance.now() < deadline, `Not in time: ${what}`);
    await sleep(POLL_INTERVAL_MS);
  }
}

/** Whether all hosts report this value of a gauge. */
export async function reportsAtAll(
  { hosts }: TestFleet,
  gauge: string,
  value: number,
): Promise<boolean> {
  const values = await Promise.all(hosts.map((host) => readGauge(host, gauge)));
  return values.every((reported) => reported === value);
}

/** Reads a gauge of a host, again if the host does not respond in time. */
export async function reportedGauge(
  host: FleetHost,
  name: string,
): Promise<number | undefined> {
  let value: number | undefined;
  await waitUntil(async () => {
    value = await readGauge(host, name);
    return value !== undefined;
  }, `${host.process.name} reports ${name}`);
  return value;
}

/**
 * Whether the last requests of each kind that the callers send got whole
 * responses at each host.
 */
export function areServedAtAll(
  { hosts }: TestFleet,
  results: readonly CallResult[],
): boolean {
  const kinds = [...new Set(results.map(({ kind }) => kind))];
  return kinds.length > 0 &&
    hosts.every(({ process: { name } }) =>
      kinds.every((kind) => {
        const last = results
          .filter((result) => result.host === name && result.kind === kind)
          .slice(-SERVED_IN_A_ROW);
        return last.length === SERVED_IN_A_ROW && last.every(isServed);
      })
    );
}

/** Whether the caller got a whole response. */
export function isServed({ status, isComplete }: CallResult): boolean {
  return status === 200 && isComplete;
}

/** Runs callers at all hosts for `forMs` and returns their results. */
export async function runCallers(
  fleet: TestFleet,
  { kinds, forMs }: {
    readonly kinds: readonly CallKind[];
    readonly forMs: number;
  },
): Promise<CallResult[]> {
  const deadline = performance.now() + forMs;
  const results: CallResult[] = [];
  await Promise.all(
    startCallers(fleet, {
      kinds,
      isStopped: () => performance.now() >= deadline,
      onResult: (result) => results.push(result),
    }),
  );
  return results;
}

/**
 * Runs callers at all hosts until a condition on their results so far holds,
 * fails if it doesn't in time, and returns the results.
 */
export async function runCallersUntil(
  fleet: TestFleet,
  { kinds, condition, what }: {
    readonly kinds: readonly CallKind[];
    condition(results: readonly CallResult[]): boolean | Promise<boolean>;
    readonly what: string;
  },
): Promise<CallResult[]> {
  const results: CallResult[] = [];
  let isStopped = false;
  const callers = startCallers(fleet, {
    kinds,
    isStopped: () => isStopped,
    onResult: (result) => results.push(result),
  });
  try {
    await waitUntil(async () => await condition(results), what);
  } finally {
    isStopped = true;
    await Promise.all(callers);
  }
  return results;
}

/**
 * Starts callers at all hosts, each after a delay of its own, so that they
 * don't send their requests in step. Each sends one request at least.
 */
function startCallers(
  { hosts }: TestFleet,
  { kinds, isStopped, onResult }: {
    readonly kinds: readonly CallKind[];
    isStopped(): boolean;
    onResult(result: CallResult): void;
  },
): Promise<void>[] {
  const startedAt = performance.now();
  return hosts.flatMap((host, hostAt) =>
    Array.from({ length: CALLERS_PER_HOST }, async (_, at) => {
      const random = xoroshiro128plus(hostAt * CALLERS_PER_HOST + at);
      await sleep(randomInt(random, PAUSE_RANGE_MS));
      for (let count = 0; count === 0 || !isStopped(); count++) {
        const kind = kinds[(count + at) % kinds.length] ?? CallKind.safe;
        const id = `${kind}-${host.process.name}-${at}-${count}-${startedAt}`;
        onResult(await callHost(host, { id, kind }));
        await sleep(MIN_PAUSE_MS + randomInt(random, PAUSE_RANGE_MS));
      }
    })
  );
}

/** Returns one plain, one decode and one prefill replica. */
export function oneOfEachRole({ world }: TestFleet): ReplicaStandin[] {
  const all = world.readyReplicas().map((replica) => replica.standin);
  return (["plain", "decode", "prefill"] as const).flatMap((role) =>
    all.filter((standin) => standin.role === role).slice(0, 1)
  );
}
