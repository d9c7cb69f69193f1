/**
 * Draws signals and disruptions around the starts and stops of hosts, and
 * replicas that send bytes without end; pure functions.
 */
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import {
  drawFaults,
  mixedGenerator,
  type ScheduleOptions,
} from "./draw_faults.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";

/** What a schedule holds for the starts and stops of hosts. */
export type Lifecycle = {
  /** The memory limit of each host; absent: none is checked. */
  readonly memoryMb?: number;
  readonly faults: readonly Fault[];
};

/** Disruptions of a host's start. */
const START_KINDS: readonly FaultKind[] = [
  FaultKind.reloadsDuringStarts,
  FaultKind.stopDuringStart,
  FaultKind.startBeforeEnd,
  FaultKind.portTaken,
  FaultKind.settingsTornAtStart,
];
/** Kinds of faults that only these schedules have, of hosts. */
export const LIFECYCLE_HOST_KINDS: readonly FaultKind[] = [
  ...START_KINDS,
  FaultKind.settingsTorn,
  FaultKind.stopUnderLoad,
];
/** All kinds of faults that only these schedules have. */
export const LIFECYCLE_KINDS: readonly FaultKind[] = [
  ...LIFECYCLE_HOST_KINDS,
  FaultKind.endlessBytes,
];

const LIFECYCLE_SEED = 13_000_027;
/** One run in this many has no such faults. */
const NONE_ONE_IN = 4;
/** The memory of a host at the smallest deployment. */
const MEMORY_MB = 200;
/** Each `..._RANGE` is the exclusive upper bound of a draw from 0. */
const MIN_EPISODES = 2;
const EPISODE_RANGE = 4;
const OTHER_RANGE = 3;
const MIN_SERIES_MS = 1000;
const SERIES_RANGE_MS = 2000;
/** The largest share of the hosts that is disrupted at once. */
const VICTIMS_ONE_IN = 2;
const TARGET_RANGE = 1000;
/**
 * Stops begin after the other faults: these may interrupt requests, which a
 * planned stop may not.
 */
const STOPS_DELAY_MS = 5000;
const STOP_SERIES_RANGE = 2;
const STOPPED_HOSTS_RANGE = 2;
const MIN_STOP_INTERVAL_MS = 500;
const STOP_INTERVAL_RANGE_MS = 3000;

/** Draws from a generator of its own, so that seeds keep their other faults. */
export function drawLifecycle(
  options: ScheduleOptions,
  hosts: number,
): Lifecycle {
  const random = mixedGenerator(options.seed + LIFECYCLE_SEED);
  const hasNone = randomInt(random, NONE_ONE_IN) === 0 &&
    options.only !== "lifecycle";
  if (!options.hasLifecycleFaults || hasNone) return { faults: [] };
  const episodes = MIN_EPISODES + randomInt(random, EPISODE_RANGE);
  const starts = Array.from(
    { length: episodes },
    () => drawStarts(random, options, hosts),
  ).flat();
  const others = drawFaults(random, options, {
    kinds: [FaultKind.settingsTorn, FaultKind.endlessBytes],
    count: 1 + randomInt(random, OTHER_RANGE),
  });
  const stops = drawStops(random, options, hosts);
  return { memoryMb: MEMORY_MB, faults: [...starts, ...others, ...stops] };
}

/** One disruption of the starts of several hosts at once. */
function drawStarts(
  random: RandomGenerator,
  { windowMs }: ScheduleOptions,
  hosts: number,
): Fault[] {
  const kind = START_KINDS[randomInt(random, START_KINDS.length)] ??
    FaultKind.reloadsDuringStarts;
  const atMs = randomInt(random, windowMs);
  const durationMs = MIN_SERIES_MS + randomInt(random, SERIES_RANGE_MS);
  const first = randomInt(random, TARGET_RANGE);
  const victims = 1 + randomInt(random, Math.ceil(hosts / VICTIMS_ONE_IN));
  return Array.from({ length: victims }, (_, at) => ({
    kind,
    atMs,
    durationMs,
    target: first + at,
  }));
}

/** Stops of one or two hosts, one after the other, in series. */
function drawStops(
  random: RandomGenerator,
  { windowMs }: ScheduleOptions,
  hosts: number,
): Fault[] {
  const series = 1 + randomInt(random, STOP_SERIES_RANGE);
  const first = randomInt(random, hosts);
  const count = series * (1 + randomInt(random, STOPPED_HOSTS_RANGE));
  let atMs = windowMs + STOPS_DELAY_MS;
  return Array.from({ length: count }, (_, at) => {
    const fault: Fault = {
      kind: FaultKind.stopUnderLoad,
      atMs,
      durationMs: 0,
      target: first + at,
    };
    atMs += MIN_STOP_INTERVAL_MS + randomInt(random, STOP_INTERVAL_RANGE_MS);
    return fault;
  });
}
