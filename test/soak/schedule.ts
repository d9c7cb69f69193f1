/** Draws the faults of a soak run from a seed; pure functions. */
import { xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import {
  drawFaults,
  MIN_DURATION_MS,
  mixedGenerator,
  type ScheduleOptions,
} from "./draw_faults.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import { CROWD_KINDS, drawCrowds, NO_CROWDS } from "./draw_crowds.ts";
import {
  drawOutOfStep,
  IN_STEP,
  OUT_OF_STEP_KINDS,
} from "./draw_out_of_step.ts";
import { drawLifecycle, LIFECYCLE_KINDS } from "./draw_lifecycle.ts";
import { drawOddRows, ODD_ROW_KINDS } from "./odd_rows.ts";
import { CUT_RESPONSE_KINDS, drawResponses } from "./draw_responses.ts";
import { drawReleases, NO_RELEASES, RELEASE_KINDS } from "./draw_releases.ts";
import { CHUNKED_LOAD, type FramingLoad } from "./response_shapes.ts";

/** The setup and the faults of a soak run. */
export type Schedule = {
  readonly seed: number;
  readonly hosts: number;
  readonly callers: number;
  /** The faults are planned stops, reloads and configuration changes only. */
  readonly isPlannedOnly: boolean;
  /** Callers that send resumable streams and resume those that break. */
  readonly resumingCallers: number;
  /** Callers give up responses that are silent for long. */
  readonly isImpatient: boolean;
  /** How long the hosts run before the first request. */
  readonly settleMs: number;
  /** One caller sends requests that crash their replicas. */
  readonly hasCrashingCaller: boolean;
  /** One caller sends requests with a part that crashes replicas. */
  readonly hasPartCaller: boolean;
  /** What the hosts and callers are set up for. */
  readonly load: Load;
  /** The memory limit of each host; absent: none is checked. */
  readonly memoryMb?: number;
  readonly faults: readonly Fault[];
};

/** The load of a run. */
export type Load = {
  /** The optional decisions under load are switched on at all hosts. */
  readonly isScheduled: boolean;
  /** Replicas of one stage differ in speed, and memory is scarce. */
  readonly isUneven: boolean;
  /** Connections that send a part of a body and then nothing. */
  readonly unfinishedBodies: number;
  readonly framing: FramingLoad;
};

const LIGHT_LOAD: Load = {
  isScheduled: false,
  isUneven: false,
  unfinishedBodies: 0,
  framing: CHUNKED_LOAD,
};

/**
 * Kinds that were added later are drawn from generators of their own, so that
 * the regression seeds still produce the same first faults.
 */
const LATER_KINDS: readonly FaultKind[] = [
  FaultKind.replicaRestart,
  FaultKind.foreignRows,
];
const RESTORE_KINDS: readonly FaultKind[] = [
  FaultKind.storeRestored,
  FaultKind.storeRestoredAfterOutage,
];
const LIMIT_KINDS: readonly FaultKind[] = [
  FaultKind.replicaLimit,
  FaultKind.replicaLimit,
  FaultKind.serviceLimit,
  FaultKind.hallLimit,
];
const NOTICE_KINDS: readonly FaultKind[] = [
  FaultKind.replicaDrainByResponse,
  FaultKind.replicaDrainByResponse,
  FaultKind.replicaBackoff,
  FaultKind.replicaBackoff,
  FaultKind.serviceBackoff,
  FaultKind.hallBackoff,
];
const LOAD_KINDS: readonly FaultKind[] = [
  FaultKind.replicaSlow,
  FaultKind.replicaSlow,
  FaultKind.plannerKill,
];
/** Cuts between hosts and all replicas, and a replica that falls silent. */
export const PATH_CUT_KINDS: readonly FaultKind[] = [
  FaultKind.hostPathsHang,
  FaultKind.hostPathsReset,
  FaultKind.hostPathsRefuse,
  FaultKind.hallPathsHang,
  FaultKind.hallPathsReset,
];
const PATH_KINDS: readonly FaultKind[] = [
  ...PATH_CUT_KINDS,
  FaultKind.replicaSilent,
];
const SLEEP_KINDS: readonly FaultKind[] = [FaultKind.machineSleep];
const FIRST_KINDS = Object.values(FaultKind).filter((kind) =>
  ![
    ...LATER_KINDS,
    ...RESTORE_KINDS,
    ...LIMIT_KINDS,
    ...NOTICE_KINDS,
    ...LOAD_KINDS,
    ...PATH_KINDS,
    ...CUT_RESPONSE_KINDS,
    ...SLEEP_KINDS,
    ...RELEASE_KINDS,
    ...CROWD_KINDS,
    ...OUT_OF_STEP_KINDS,
    ...ODD_ROW_KINDS,
    ...LIFECYCLE_KINDS,
  ].includes(kind)
);
/** Each `..._RANGE` is the exclusive upper bound of a draw from 0. */
const LATER_FAULT_RANGE = 4;
const RESTORE_RANGE = 4;
const LIMIT_RANGE = 6;
const NOTICE_RANGE = 8;
const LOAD_RANGE = 5;
const PATH_RANGE = 4;
const SLEEP_RANGE = 3;
const UNFINISHED_BODY_RANGE = 20;
/** Offsets that separate these generators from those of the callers. */
const LATER_SEED = 1_000_003;
const RESTORE_SEED = 2_000_003;
const LIMIT_SEED = 3_000_017;
const NOTICE_SEED = 4_000_037;
const LOAD_SEED = 5_000_011;
const PATH_SEED = 6_000_011;
const SLEEP_SEED = 9_000_011;
/** One run in this many keeps today's decisions under load switched off. */
const UNSCHEDULED_ONE_IN = 3;
const CRASHING_ONE_IN = 2;
const PLANNED_KINDS: readonly FaultKind[] = [
  FaultKind.stop,
  FaultKind.stop,
  FaultKind.reload,
  FaultKind.config,
];
/** One seed in this many has planned changes only. */
const PLANNED_ONE_IN = 5;
const MIN_HOSTS = 3;
const HOST_RANGE = 5;
const MIN_FAULTS = 6;
const FAULT_RANGE = 9;
/**
 * Longer than other faults: limits are checked from 3 s after the report on.
 */
const LIMIT_DURATION_RANGE_MS = 9000;
/** Draining is checked from 2.5 s after the report on. */
const MIN_DRAIN_MS = 3000;
const DRAIN_RANGE_MS = 4000;
/** How long a sound replica may be silent. */
export const SILENT_MS = 1000;
/** What callers get is checked from 3 s after the begin of a cut on. */
const MIN_CUT_MS = 4000;
const CUT_RANGE_MS = 5000;
const CALLERS_PER_HOST = 3;

/** Draws the schedule of a seed. */
export function createSchedule(options: ScheduleOptions): Schedule {
  const first = drawFirstSchedule(options);
  if (options.only === "lifecycle") {
    const lifecycle = drawLifecycle(options, first.hosts);
    return { ...first, ...lifecycle, isPlannedOnly: false };
  }
  if (options.only === "outOfStep") {
    const outOfStep = drawOutOfStep(options, first.hosts);
    const faults = [...outOfStep.faults, ...drawOddRows(options)];
    return { ...first, ...outOfStep, faults, isPlannedOnly: false };
  }
  if (options.isFirstKindsOnly || first.isPlannedOnly) return first;
  const random = xoroshiro128plus(options.seed + LATER_SEED);
  const faults = drawFaults(random, options, {
    kinds: LATER_KINDS,
    count: randomInt(random, LATER_FAULT_RANGE),
  });
  const hasCrashingCaller = randomInt(random, CRASHING_ONE_IN) === 0;
  const restores = drawRestores(options);
  const limits = drawLimits(options);
  const notices = drawNotices(options);
  const { load, faults: loadFaults } = drawLoad(options);
  const { framing, faults: responseFaults } = drawResponses(options);
  const releases = drawReleases(options, first.hosts);
  const crowds = drawCrowds(options);
  const outOfStep = drawOutOfStep(options, first.hosts);
  const lifecycle = drawLifecycle(options, first.hosts);
  return {
    ...first,
    ...lifecycle,
    resumingCallers: Math.max(
      releases.resumingCallers,
      outOfStep.resumingCallers,
    ),
    isImpatient: outOfStep.isImpatient,
    settleMs: outOfStep.settleMs,
    hasCrashingCaller,
    hasPartCaller: crowds.hasPartCaller,
    load: { ...load, framing },
    faults: [
      ...first.faults,
      ...faults,
      ...restores,
      ...limits,
      ...notices,
      ...loadFaults,
      ...drawPathFaults(options),
      ...responseFaults,
      ...drawSleeps(options),
      ...releases.faults,
      ...crowds.faults,
      ...outOfStep.faults,
      ...drawOddRows(options),
      ...lifecycle.faults,
    ],
  };
}

function drawLoad(
  options: ScheduleOptions,
): Pick<Schedule, "load" | "faults"> {
  const random = xoroshiro128plus(options.seed + LOAD_SEED);
  const load = {
    isScheduled: randomInt(random, UNSCHEDULED_ONE_IN) !== 0,
    isUneven: randomInt(random, 2) === 0,
    unfinishedBodies: randomInt(random, UNFINISHED_BODY_RANGE),
    framing: CHUNKED_LOAD,
  };
  const count = randomInt(random, LOAD_RANGE);
  const faults = drawFaults(random, options, { kinds: LOAD_KINDS, count });
  return { load, faults };
}

function drawPathFaults(options: ScheduleOptions): Fault[] {
  const random = xoroshiro128plus(options.seed + PATH_SEED);
  const count = randomInt(random, PATH_RANGE);
  const faults = drawFaults(random, options, { kinds: PATH_KINDS, count });
  return faults.map((fault) =>
    fault.kind === FaultKind.replicaSilent
      ? { ...fault, durationMs: SILENT_MS }
      : { ...fault, durationMs: MIN_CUT_MS + randomInt(random, CUT_RANGE_MS) }
  );
}

function drawSleeps(options: ScheduleOptions): Fault[] {
  if (!options.hasSleeps) return [];
  const random = mixedGenerator(options.seed + SLEEP_SEED);
  const count = randomInt(random, SLEEP_RANGE);
  return drawFaults(random, options, { kinds: SLEEP_KINDS, count });
}

function drawRestores(options: ScheduleOptions): Fault[] {
  const random = xoroshiro128plus(options.seed + RESTORE_SEED);
  const count = randomInt(random, RESTORE_RANGE);
  return drawFaults(random, options, { kinds: RESTORE_KINDS, count });
}

function drawLimits(options: ScheduleOptions): Fault[] {
  const random = xoroshiro128plus(options.seed + LIMIT_SEED);
  const count = randomInt(random, LIMIT_RANGE);
  return drawFaults(random, options, { kinds: LIMIT_KINDS, count })
    .map((fault) => ({
      ...fault,
      durationMs: MIN_DURATION_MS + randomInt(random, LIMIT_DURATION_RANGE_MS),
    }));
}

function drawNotices(options: ScheduleOptions): Fault[] {
  const random = xoroshiro128plus(options.seed + NOTICE_SEED);
  const count = randomInt(random, NOTICE_RANGE);
  const faults = drawFaults(random, options, { kinds: NOTICE_KINDS, count });
  return faults.map((fault) =>
    fault.kind === FaultKind.replicaDrainByResponse
      ? {
        ...fault,
        durationMs: MIN_DRAIN_MS + randomInt(random, DRAIN_RANGE_MS),
      }
      : fault
  );
}

function drawFirstSchedule(
  { seed, windowMs }: ScheduleOptions,
): Schedule {
  const random = xoroshiro128plus(seed);
  const isPlannedOnly = randomInt(random, PLANNED_ONE_IN) === 0;
  const kinds = isPlannedOnly ? PLANNED_KINDS : FIRST_KINDS;
  const hosts = MIN_HOSTS + randomInt(random, HOST_RANGE);
  const count = MIN_FAULTS + randomInt(random, FAULT_RANGE);
  const faults = drawFaults(random, { windowMs }, { kinds, count });
  const callers = hosts * CALLERS_PER_HOST;
  return {
    seed,
    hosts,
    callers,
    isPlannedOnly,
    resumingCallers: NO_RELEASES.resumingCallers,
    isImpatient: IN_STEP.isImpatient,
    settleMs: IN_STEP.settleMs,
    hasCrashingCaller: false,
    hasPartCaller: NO_CROWDS.hasPartCaller,
    load: LIGHT_LOAD,
    faults,
  };
}
