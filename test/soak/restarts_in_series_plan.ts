/**
 * Draws series of planned restarts and the changes between them; pure functions.
 */
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { mixedGenerator } from "./draw_faults.ts";

/** Which of the running hosts is stopped. */
export const Victim = {
  /** The hosts take turns. */
  next: "next",
  /** The one that started last. */
  youngest: "youngest",
  planner: "planner",
} as const;
/** One of the values of {@link Victim}. */
export type Victim = typeof Victim[keyof typeof Victim];

/** How the replicas change between the stops. */
export const ReplicaChange = {
  drain: "drain",
  drainByResponse: "drainByResponse",
  /** All replicas of the engine are replaced by those of another version. */
  release: "release",
  /** One replica of the engine restarts at another version. */
  newVersion: "newVersion",
  restart: "restart",
} as const;
/** One of the values of {@link ReplicaChange}. */
export type ReplicaChange = typeof ReplicaChange[keyof typeof ReplicaChange];

/** How slow the replicas become. */
export const Pace = { fast: "fast", slow: "slow", mixed: "mixed" } as const;
/** One of the values of {@link Pace}. */
export type Pace = typeof Pace[keyof typeof Pace];

/** What happens at one moment of a series. */
export type SeriesAction =
  | {
    readonly type: "stop";
    readonly victim: Victim;
    /** The next process starts while this one drains. */
    readonly isReplaced: boolean;
    readonly target: number;
  }
  | {
    readonly type: "replicas";
    readonly change: ReplicaChange;
    readonly target: number;
  }
  | { readonly type: "pace"; readonly pace: Pace; readonly target: number }
  | { readonly type: "reload"; readonly target: number }
  | { readonly type: "config" };

/** An action and its time from the start of the series. */
export type SeriesStep = {
  readonly atMs: number;
  readonly action: SeriesAction;
};

/** A series of restarts. */
export type Series = {
  readonly seed: number;
  readonly hosts: number;
  readonly windowMs: number;
  readonly steps: readonly SeriesStep[];
};

/** Each `..._RANGE` is the exclusive upper bound of a draw from 0. */
const MIN_HOSTS = 3;
const HOSTS_RANGE = 4;
const FIRST_STOP_MS = 2500;
const MIN_STOP_INTERVAL_MS = 500;
const STOP_INTERVAL_RANGE_MS = 2501;
const MIN_PACE_INTERVAL_MS = 700;
const PACE_INTERVAL_RANGE_MS = 2500;
const MIN_CHANGE_INTERVAL_MS = 800;
const CHANGE_INTERVAL_RANGE_MS = 3000;
const TARGET_RANGE = 1000;

/** Draws a series whose actions begin within a time. */
export function drawSeries(
  { seed, windowMs }: { readonly seed: number; readonly windowMs: number },
): Series {
  const random = mixedGenerator(seed);
  const hosts = MIN_HOSTS + randomInt(random, HOSTS_RANGE);
  const stops = drawSteps(random, {
    fromMs: FIRST_STOP_MS,
    windowMs,
    pauseMs: () =>
      MIN_STOP_INTERVAL_MS + randomInt(random, STOP_INTERVAL_RANGE_MS),
    draw: drawStop,
  });
  const paces = drawSteps(random, {
    fromMs: 0,
    windowMs,
    pauseMs: () =>
      MIN_PACE_INTERVAL_MS + randomInt(random, PACE_INTERVAL_RANGE_MS),
    draw: drawPace,
  });
  const changes = drawSteps(random, {
    fromMs: FIRST_STOP_MS,
    windowMs,
    pauseMs: () =>
      MIN_CHANGE_INTERVAL_MS + randomInt(random, CHANGE_INTERVAL_RANGE_MS),
    draw: drawChange,
  });
  const steps = [...stops, ...paces, ...changes]
    .sort((a, b) => a.atMs - b.atMs);
  return { seed, hosts, windowMs, steps };
}

function drawSteps(
  random: RandomGenerator,
  { fromMs, windowMs, pauseMs, draw }: {
    readonly fromMs: number;
    readonly windowMs: number;
    pauseMs(): number;
    draw(random: RandomGenerator): SeriesAction;
  },
): SeriesStep[] {
  const steps: SeriesStep[] = [];
  for (let atMs = fromMs; atMs < windowMs; atMs += pauseMs()) {
    steps.push({ atMs, action: draw(random) });
  }
  return steps;
}

function drawStop(random: RandomGenerator): SeriesAction {
  return {
    type: "stop",
    victim: oneOf(random, Object.values(Victim)),
    isReplaced: randomInt(random, 2) === 0,
    target: randomInt(random, TARGET_RANGE),
  };
}

function drawPace(random: RandomGenerator): SeriesAction {
  const target = randomInt(random, TARGET_RANGE);
  return { type: "pace", pace: oneOf(random, Object.values(Pace)), target };
}

function drawChange(random: RandomGenerator): SeriesAction {
  const target = randomInt(random, TARGET_RANGE);
  const type = oneOf(random, ["reload", "config", "replicas"] as const);
  if (type === "config") return { type };
  if (type === "reload") return { type, target };
  const change = oneOf(random, Object.values(ReplicaChange));
  return { type, change, target };
}

function oneOf<T>(random: RandomGenerator, values: readonly T[]): T {
  const value = values[randomInt(random, values.length)];
  if (value === undefined) throw new Error("There is nothing to draw from");
  return value;
}
