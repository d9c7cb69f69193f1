/** Loads and faults for tests of quotas over a fleet. */
import { test } from "node:test";
import { rendezvous } from "../../../src/util/rendezvous.ts";
import { orderKeyOf, shardOf } from "../../../src/gateway/quota/shards.ts";
import { BOUNDS, QuotaFleet } from "./quota_fleet.ts";

/** The customer of all loads. */
export const CUSTOMER = "alpha";
/** Units per second of its quota, unless stated otherwise. */
export const RATE = 36_000;
/** Units of a default request. */
export const REQUEST_UNITS = 6000;
/** The requests of a load are of so many priorities in turn. */
const PRIORITIES = 3;
/**
 * By then the links to owners are open, and all hosts have run for a window.
 */
export const START_MS = 9000;

/** Maximum number of units that all hosts together may grant in one window. */
export function maxUnitsInWindow(perSecond: number): number {
  const { windowMs, overshoot, tolerance } = BOUNDS;
  const inWindow = perSecond * windowMs / 1000 + perSecond;
  return inWindow * (1 + overshoot) + tolerance;
}

/** Schedules requests at a constant rate, distributed over the hosts. */
export function load(
  fleet: QuotaFleet,
  from: number,
  to: number,
  options: {
    readonly unitsPerSecond: number;
    readonly perSecond?: number;
    readonly units?: number;
    readonly hosts?: number;
    readonly version?: number;
  },
): void {
  const { unitsPerSecond, perSecond = RATE, units = REQUEST_UNITS } = options;
  const stepMs = units / unitsPerSecond * 1000;
  for (let at = from, host = 0; at < to; at += stepMs, host += 7) {
    const priority = Math.floor(host / 7) % PRIORITIES;
    fleet.request(at, {
      host: host % (options.hosts ?? fleet.hosts.length),
      customer: CUSTOMER,
      units,
      perSecond,
      version: options.version ?? 1,
      priority,
    });
  }
}

/** Registers a test for requests in order of arrival and by their priority. */
export function testFleet(
  title: string,
  run: (newFleet: (size: number) => QuotaFleet) => Promise<void>,
): void {
  test(title, () => run((size) => new QuotaFleet(size)));
  const order = { priorities: true, largeRequests: true };
  test(
    `${title}, urgent requests first`,
    () => run((size) => new QuotaFleet(size, { order })),
  );
}

/** Kills more than half of the hosts at once, including the owner. */
export function killMostHosts(
  fleet: QuotaFleet,
  offset: number,
  forMs: number,
): void {
  const [owner = ""] = ownersOf(fleet);
  for (const [index, { id }] of fleet.hosts.entries()) {
    if ((index + offset) % 5 < 3 || id === owner) fleet.kill(id, forMs);
  }
}

/** Requests by their outcome. */
export function counts(fleet: QuotaFleet) {
  const of = (type: string | undefined) =>
    fleet.requests.filter((request) => request.outcome?.type === type).length;
  return {
    granted: of("granted"),
    refused: of("refused"),
    unknown: of("unknown"),
    open: of(undefined),
  };
}

/** The hosts in the order in which they own the customer. */
export function ownersOf(fleet: QuotaFleet): string[] {
  return rendezvous(
    orderKeyOf(shardOf(CUSTOMER)),
    fleet.hosts.map((host) => host.id),
  );
}
