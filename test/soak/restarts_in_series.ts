/** Plays a series of planned restarts against a fleet of real processes. */
import assert from "node:assert/strict";
import { randomInt } from "../../src/util/random.ts";
import { rendezvous } from "../../src/util/rendezvous.ts";
import type { Violation } from "./checks.ts";
import { mixedGenerator } from "./draw_faults.ts";
import { checkReadiness, type FleetHost, isInRotation } from "./fleet.ts";
import { findOwnEnds, findUnexpectedErrors } from "./own_ends.ts";
import { changeVersion, release } from "./releases.ts";
import { startSeriesCallers } from "./restarts_in_series_callers.ts";
import {
  findFailuresElsewhere,
  findSeriesViolations,
  type HostStop,
  type SeriesRecord,
} from "./restarts_in_series_checks.ts";
import {
  Pace,
  ReplicaChange,
  type Series,
  type SeriesAction,
  Victim,
} from "./restarts_in_series_plan.ts";
import { sleep } from "./sleep.ts";
import { StallMeter } from "./stall_meter.ts";
import { isServed, type TestFleet, withFleet } from "./test_fleet.ts";
import { SERVICES } from "./world.ts";

/** What a series showed. */
export type SeriesOutcome = {
  readonly violations: readonly Violation[];
  /** Failures that no rule forbids, away from all stops. */
  readonly failures: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly stops: number;
  /** The number of responses by status; whole ones and others. */
  readonly statuses: Readonly<Record<string, number>>;
};

/** Longer than the grace period, so that stops end requests. */
const ROUTE_TIMEOUT_MS = 12_000;
const CHECK_INTERVAL_MS = 250;
const RESTART_DELAY_MS = 400;
/** From the response that tells of a drain to the entry that does. */
const ENTRY_DELAY_MS = 600;
/** Factors on the work of replicas: streams take 0.5 to 9 s. */
const FAST_SLOWDOWN = 0.6;
const SLOW_SLOWDOWN = 5;
const SLOWDOWN_RANGE = 6;
/** Plain replicas work for 30 ms without a slowdown. */
const PLAIN_FACTOR = 15;
const MIXED_ONE_IN = 2;

type Play = {
  readonly fleet: TestFleet;
  readonly stops: HostStop[];
  /** Hosts whose process drains and has no successor yet. */
  readonly draining: Set<FleetHost>;
  /** The hosts in the order of their last starts. */
  readonly byStart: FleetHost[];
};

/** Plays a series and fails with its violations, which keeps the logs. */
export async function playSeries(series: Series): Promise<SeriesOutcome> {
  const options = { hosts: series.hosts, routeTimeoutMs: ROUTE_TIMEOUT_MS };
  let outcome: SeriesOutcome | undefined;
  await withFleet(async (fleet) => {
    const record = await runSeries(fleet, series);
    outcome = outcomeOf(fleet, record);
    const details = JSON.stringify(outcome, null, 2);
    assert.equal(outcome.violations.length, 0, details);
  }, options);
  if (!outcome) throw new Error("The series was not played");
  return outcome;
}

async function runSeries(
  fleet: TestFleet,
  { seed, steps, windowMs }: Series,
): Promise<SeriesRecord> {
  const { world, hosts } = fleet;
  const calls: SeriesRecord["calls"][number][] = [];
  const play: Play = {
    fleet,
    stops: [],
    draining: new Set(),
    byStart: [...hosts],
  };
  let isOver = false;
  const callers = startSeriesCallers({
    hosts,
    seed,
    isStopped: () => isOver,
    onCall: (call) => calls.push(call),
  });
  const checks = keepChecking(hosts, () => isOver);
  const stalls = new StallMeter();
  const startedAt = performance.now();
  const actions: Promise<void>[] = [];
  for (const { atMs, action } of steps) {
    await sleep(Math.max(0, startedAt + atMs - performance.now()));
    actions.push(playAction(play, action));
  }
  await sleep(Math.max(0, startedAt + windowMs - performance.now()));
  await Promise.all(actions);
  isOver = true;
  await Promise.all([callers, checks]);
  const heldUpMs = stalls.longestMs;
  stalls.end();
  return {
    calls,
    stops: play.stops,
    arrivals: world.arrivals,
    cuts: world.cuts,
    routeTimeoutMs: ROUTE_TIMEOUT_MS,
    heldUpMs,
  };
}

function outcomeOf(
  { hosts }: TestFleet,
  record: SeriesRecord,
): SeriesOutcome {
  const exits = hosts.flatMap(({ process: { name, exits } }) =>
    exits.map((exit) => ({ ...exit, host: name }))
  );
  const logs = new Map(
    hosts.map(({ process: { name, logLines } }) => [name, logLines]),
  );
  const ends = findOwnEnds(exits);
  const errors = findUnexpectedErrors(logs);
  return {
    violations: [
      ...findSeriesViolations(record),
      ...ends.map((detail) => ({ rule: "processes don't end", detail })),
      ...errors.map((detail) => ({ rule: "hosts handle errors", detail })),
    ],
    failures: findFailuresElsewhere(record),
    requests: record.calls.length,
    served: record.calls.filter(isServed).length,
    stops: record.stops.length,
    statuses: countStatuses(record.calls),
  };
}

function countStatuses(
  calls: SeriesRecord["calls"],
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { status, isComplete, isAborted } of calls) {
    const end = isAborted ? " given up" : " cut";
    const key = isComplete ? String(status) : `${status}${end}`;
    counts[key] = (counts[key] ?? 0) + 1;
  }
  return counts;
}

/** Checks the readiness of all hosts, as the load balancer does. */
async function keepChecking(
  hosts: readonly FleetHost[],
  isOver: () => boolean,
): Promise<void> {
  while (!isOver()) {
    await Promise.all(hosts.map(checkReadiness));
    await sleep(CHECK_INTERVAL_MS);
  }
}

async function playAction(play: Play, action: SeriesAction): Promise<void> {
  const { world, hosts } = play.fleet;
  switch (action.type) {
    case "stop":
      return await stopHost(play, action);
    case "replicas":
      return await changeReplicas(play.fleet, action);
    case "pace":
      return setPace(play.fleet, action);
    case "reload":
      return hosts[action.target % hosts.length]?.process.reload();
    case "config":
      return world.changeConfig();
  }
}

async function stopHost(
  play: Play,
  { victim, isReplaced, target }: SeriesAction & { readonly type: "stop" },
): Promise<void> {
  const { draining, stops, byStart, fleet: { hosts } } = play;
  const running = hosts.filter((host) =>
    !draining.has(host) && host.process.isRunning
  );
  const ready = running.filter(isInRotation);
  // A host that has only just started may stop, too.
  const candidates = victim === Victim.youngest ? running : ready;
  if (candidates.length === 0) return;
  const host = chooseVictim(candidates, { victim, target, byStart });
  // The others have no host to turn to otherwise.
  if (ready.every((one) => one === host)) return;
  const { process } = host;
  draining.add(host);
  // The load balancer has yet to see its next process ready.
  host.failedChecks = Infinity;
  stops.push({ host: process.name, atMs: performance.now() });
  const ended = isReplaced ? process.replace() : process.stop();
  if (!isReplaced) {
    await ended;
    await sleep(RESTART_DELAY_MS);
    process.start();
  }
  byStart.splice(byStart.indexOf(host), 1);
  byStart.push(host);
  draining.delete(host);
  await ended;
}

function chooseVictim(
  running: readonly FleetHost[],
  { victim, target, byStart }: {
    readonly victim: Victim;
    readonly target: number;
    readonly byStart: readonly FleetHost[];
  },
): FleetHost {
  const names = running.map(({ process }) => process.name);
  const service = SERVICES[target % SERVICES.length] ?? SERVICES[0];
  const [planner] = rendezvous(service, names);
  const found = {
    [Victim.next]: () => running[target % running.length],
    [Victim.youngest]: () => byStart.findLast((one) => running.includes(one)),
    [Victim.planner]: () =>
      running.find(({ process }) => process.name === planner),
  }[victim]();
  if (!found) throw new Error("No host runs");
  return found;
}

async function changeReplicas(
  { world }: TestFleet,
  { change, target }: SeriesAction & { readonly type: "replicas" },
): Promise<void> {
  const ready = world.readyReplicas();
  const replica = ready[target % ready.length];
  if (!replica) return;
  switch (change) {
    case ReplicaChange.drain:
      return await world.drain(replica);
    case ReplicaChange.drainByResponse: {
      const updateEntry = await world.drainByResponse(replica);
      await sleep(ENTRY_DELAY_MS);
      return updateEntry();
    }
    case ReplicaChange.release:
      return void await release(world, target);
    case ReplicaChange.newVersion:
      return await changeVersion(world, target);
    case ReplicaChange.restart:
      return await world.restart(replica);
  }
}

function setPace(
  { world }: TestFleet,
  { pace, target }: SeriesAction & { readonly type: "pace" },
): void {
  const random = mixedGenerator(target);
  for (const { standin } of world.readyReplicas()) {
    const isSlow = pace === Pace.slow ||
      pace === Pace.mixed && randomInt(random, MIXED_ONE_IN) === 0;
    const factor = isSlow
      ? SLOW_SLOWDOWN + randomInt(random, SLOWDOWN_RANGE)
      : FAST_SLOWDOWN;
    standin.slowdown = standin.role === "plain"
      ? factor * PLAIN_FACTOR
      : factor;
  }
}
