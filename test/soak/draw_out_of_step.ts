/**
 * Draws hosts that stand still or are cut off while replicas of another
 * software version join, and whose neighbours end as they go on.
 */
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { mixedGenerator, type ScheduleOptions } from "./draw_faults.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";

/** What a schedule holds for hosts that are out of step. */
export type OutOfStep = {
  /** How long the hosts run before the first request. */
  readonly settleMs: number;
  readonly resumingCallers: number;
  /** Callers give up responses that are silent for long. */
  readonly isImpatient: boolean;
  readonly faults: readonly Fault[];
};

/** All hosts stay in step. */
export const IN_STEP: OutOfStep = {
  settleMs: 0,
  resumingCallers: 0,
  isImpatient: false,
  faults: [],
};

/** Kinds of faults that only these schedules have. */
export const OUT_OF_STEP_KINDS: readonly FaultKind[] = [
  FaultKind.hostCutOff,
  FaultKind.hostIsolated,
];

const OUT_OF_STEP_SEED = 11_000_027;
/** One run in this many keeps its hosts in step. */
const IN_STEP_ONE_IN = 4;
/** One run in this many lets hosts see a whole window of versions first. */
const SETTLED_ONE_IN = 2;
/** Hosts remember the versions of the last minute. */
const SETTLE_MS = 61_000;
const CALLERS_PER_HOST = 8;
/** Each `..._RANGE` is the exclusive upper bound of a draw from 0. */
const EPISODE_RANGE = 2;
const START_RANGE_MS = 1500;
const EPISODE_INTERVAL_MS = 4000;
const MIN_OUT_MS = 500;
const OUT_RANGE_MS = 7500;
const MIN_RELEASE_MS = 1500;
const RELEASE_RANGE_MS = 2000;
/** From the listing of a version until streams of it have begun. */
const BEGUN_MS = 300;
/** How far neighbours end from the moment at which a host goes on. */
const MEETING_MS = 300;
const MIN_NEIGHBOUR_MS = 500;
const NEIGHBOUR_RANGE_MS = 2000;
const OUT_KINDS: readonly FaultKind[] = [
  FaultKind.pause,
  FaultKind.pause,
  FaultKind.hostCutOff,
  FaultKind.hostIsolated,
];
const NEIGHBOUR_KINDS: readonly FaultKind[] = [
  FaultKind.kill,
  FaultKind.kill,
  FaultKind.pause,
  FaultKind.pause,
  FaultKind.stop,
];
/** The share of the hosts that is out of step at a time. */
const VICTIMS_ONE_IN = 3;

/** Draws from a generator of its own, so that seeds keep their other faults. */
export function drawOutOfStep(
  { seed, hasOutOfStepHosts }: ScheduleOptions,
  hosts: number,
): OutOfStep {
  const random = mixedGenerator(seed + OUT_OF_STEP_SEED);
  if (!hasOutOfStepHosts || randomInt(random, IN_STEP_ONE_IN) === 0) {
    return IN_STEP;
  }
  const isSettled = randomInt(random, SETTLED_ONE_IN) === 0;
  const episodes = 1 + randomInt(random, EPISODE_RANGE);
  return {
    settleMs: isSettled ? SETTLE_MS : 0,
    resumingCallers: hosts * CALLERS_PER_HOST,
    isImpatient: true,
    faults: Array.from(
      { length: episodes },
      (_, at) => drawEpisode(random, at * EPISODE_INTERVAL_MS, hosts),
    ).flat(),
  };
}

/** Hosts fall out of step, a version joins, and the other hosts end. */
function drawEpisode(
  random: RandomGenerator,
  fromMs: number,
  hosts: number,
): Fault[] {
  const atMs = fromMs + randomInt(random, START_RANGE_MS);
  const outMs = MIN_OUT_MS + randomInt(random, OUT_RANGE_MS);
  const first = randomInt(random, hosts);
  const victims = 1 + randomInt(random, Math.ceil(hosts / VICTIMS_ONE_IN));
  const kind = OUT_KINDS[randomInt(random, OUT_KINDS.length)] ??
    FaultKind.pause;
  const release: Fault = {
    kind: FaultKind.release,
    atMs: atMs + randomInt(random, Math.ceil(outMs / 2)),
    durationMs: MIN_RELEASE_MS + randomInt(random, RELEASE_RANGE_MS),
    target: randomInt(random, 1000),
  };
  const neighbourKind =
    NEIGHBOUR_KINDS[randomInt(random, NEIGHBOUR_KINDS.length)] ??
      FaultKind.kill;
  const begunMs = release.atMs + BEGUN_MS;
  const goesOnMs = atMs + outMs;
  // A host that stands still meets its neighbours' end as it goes on; one that
  // is cut off decides alone all the time.
  const earliestMs = kind === FaultKind.pause
    ? goesOnMs - MEETING_MS
    : Math.min(begunMs, goesOnMs - MEETING_MS);
  const endsAtMs = earliestMs +
    randomInt(random, Math.max(1, goesOnMs - earliestMs) + MEETING_MS);
  const endedMs = MIN_NEIGHBOUR_MS + randomInt(random, NEIGHBOUR_RANGE_MS);
  const faults = Array.from({ length: hosts }, (_, at): Fault => {
    const target = first + at;
    return at < victims
      ? { kind, atMs, durationMs: outMs, target }
      : { kind: neighbourKind, atMs: endsAtMs, durationMs: endedMs, target };
  });
  return [release, ...faults];
}
