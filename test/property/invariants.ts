/** The promises, as checks on a fake fleet. */
import { Ran, setupOf } from "../../src/core/mod.ts";
import { readRows } from "../../src/standins/platform/model.ts";
import type { CallRecord } from "../fake/callers.ts";
import type { FakeFleet } from "../fake/fleet.ts";
import { answerFault, runsOf, wordsFault } from "../scenario/expectations.ts";

/** Notes each fall of a settings version on a running host. */
export function watchSettings(fleet: FakeFleet, faults: string[]): void {
  const seen = new Map<string, number>();
  fleet.onStep = (host) => {
    const run = `${host.id}/${host.incarnation}`;
    const { version } = host.world.settings;
    const before = seen.get(run) ?? 0;
    if (version < before) {
      faults.push(`settings fell from ${before} to ${version} on ${run}`);
    }
    seen.set(run, version);
  };
}

/** Everything that must hold when all faults have long ended. */
export function checkEnd(
  fleet: FakeFleet,
  calls: readonly CallRecord[],
): string[] {
  return [
    ...heldMemory(fleet),
    ...answeredOnce(calls),
    ...wholeAndOwn(calls),
    ...notRunIsTrue(fleet, calls),
    ...onceAtMost(fleet, calls),
    ...settled(calls),
    ...settingsInForce(fleet),
    ...nothingLeft(fleet),
    ...ordersFenced(fleet),
  ];
}

function heldMemory(fleet: FakeFleet): string[] {
  return [...fleet.upstreams.values()]
    .filter((one) => one.held().length > 0)
    .map((one) => `${one.layout.id} still holds ${one.held().join(" ")}`);
}

function answeredOnce(calls: readonly CallRecord[]): string[] {
  const whole = new Map<string, number>();
  for (const { call, isComplete: its } of calls) {
    const key = call.callerKey ?? "";
    if (its) whole.set(key, (whole.get(key) ?? 0) + 1);
  }
  return [...whole]
    .filter(([, count]) => count > 1)
    .map(([key, count]) => `${key} was answered ${count} times`);
}

function wholeAndOwn(calls: readonly CallRecord[]): string[] {
  return calls.flatMap((got) => {
    const plain = got.call.kind === "plain";
    if (!got.isComplete && plain) return [];
    const fault = got.isComplete ? answerFault(got) : wordsFault(got);
    return fault === undefined ? [] : [`${got.id} got ${fault}`];
  });
}

function notRunIsTrue(
  fleet: FakeFleet,
  calls: readonly CallRecord[],
): string[] {
  const started = new Set<string>();
  for (const upstream of fleet.upstreams.values()) {
    for (const attempt of upstream.startCounts.keys()) {
      started.add(attempt.split("/").slice(0, 3).join("/"));
    }
  }
  return calls
    .filter((got) => got.ran === Ran.notRun && started.has(got.id))
    .map((got) => `${got.id} was told "not run" (${got.error}) and ran`);
}

function onceAtMost(fleet: FakeFleet, calls: readonly CallRecord[]): string[] {
  const texts = new Set(
    calls.filter((got) => got.call.once).map((got) => got.call.text),
  );
  return [...texts]
    .filter((text) => runsOf({ fleet }, text) > 1)
    .map((text) => `${text} ran ${runsOf({ fleet }, text)} times`);
}

function settled(calls: readonly CallRecord[]): string[] {
  return calls
    .filter((got) =>
      got.endedAt === undefined && !got.isCancelled && !got.isInterrupted
    )
    .map((got) => `${got.id} has no answer`);
}

function settingsInForce(fleet: FakeFleet): string[] {
  const rows = readRows(fleet.platform, "settings/customer/armor", 0);
  const row = JSON.parse(rows[0]?.value ?? "{}") as {
    parameters: { priority?: number };
  };
  const wanted = row.parameters.priority ?? 5;
  return [...fleet.hosts.values()].flatMap((host) => {
    const its = setupOf(host.world.settings, "armor")?.priority;
    return its === wanted ? [] : [`${host.id} has priority ${its}`];
  });
}

/** No order of an earlier lease's holder is taken after a later one's. */
function ordersFenced(fleet: FakeFleet): string[] {
  return [...fleet.upstreams.values()]
    .filter(({ orders }) =>
      orders.some((one, place) => one.fence < (orders[place - 1]?.fence ?? 0))
    )
    .map((one) => `${one.layout.id} took an order of an earlier holder`);
}

/** Tables must not grow: what is done with is forgotten. */
function nothingLeft(fleet: FakeFleet): string[] {
  return [...fleet.hosts.values()].flatMap(({ id, world }) => {
    const tables = {
      requests: world.requests.size,
      attempts: world.attempts.size,
      releases: world.releases.size,
      grants: world.plans.grants.size,
      claims: world.claims.size,
      occupancy: [...world.plans.occupancy.values()]
        .filter((one) => one.held !== 0 || one.prefills.tokens !== 0).length,
    };
    return Object.entries(tables)
      .filter(([, size]) => size > 0)
      .map(([name, size]) => `${id} keeps ${size} ${name}`);
  });
}
