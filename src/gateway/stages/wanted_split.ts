/**
 * Finds the changes of stage that a service needs, by its demand and by what
 * each replica can do. The load that it answers: replicas of unequal speed, and
 * demand that moves between prompts and answers. Slow replicas prefill where
 * that leaves more speed for decode.
 */
import { ReplicaStage } from "../replicas/model.ts";
import type { StageChange } from "./balance.ts";
import {
  hallStagesAfter,
  hallStagesOf,
  hallsWithBothStages,
  keepsStages,
} from "./hall_stages.ts";
import {
  applyChanges,
  capacityAfter,
  capacityOf,
  otherStage,
  type SplitMember,
} from "./split_members.ts";
import type { SplitValue } from "./split_value.ts";

/** One step towards a better split: a change, or a swap of replicas. */
export type SplitStep = {
  readonly changes: readonly StageChange[];
  /** The value of the split after this step and those before it. */
  readonly value: number;
};

/**
 * Least gain in value by each change of a step, as a share: a part of one
 * replica's share of the service, at most `MAX_MIN_GAIN`.
 */
const MIN_GAIN_OF_REPLICA = 0.25;
const MAX_MIN_GAIN = 0.01;
/** Steps whose gains differ by less than this part of the least are equal. */
const TOLERANCE_OF_MIN_GAIN = 0.5;
/** Most replicas of one stage that a step changes. */
const MAX_OF_STAGE = 2;

/** Bounds of {@link wantedSteps}. */
export type StepLimits = {
  readonly steps: number;
  /** Whether a step may swap replicas. */
  readonly isSwapAllowed: boolean;
};

/**
 * The best steps one after the other, until none has a sufficient gain.
 */
export function wantedSteps(
  members: readonly SplitMember[],
  value: SplitValue,
  limits: StepLimits,
): SplitStep[] {
  const steps: SplitStep[] = [];
  let split = members;
  while (steps.length < limits.steps) {
    const sorted = {
      prefills: bySpeed(split, ReplicaStage.prefill),
      decodes: bySpeed(split, ReplicaStage.decode),
    };
    const candidates = limits.isSwapAllowed
      ? [...singles(sorted), ...swaps(sorted)]
      : singles(sorted);
    const step = bestStep(split, value, candidates);
    if (!step) return steps;
    steps.push(step);
    split = applyChanges(split, step.changes);
  }
  return steps;
}

function bestStep(
  split: readonly SplitMember[],
  value: SplitValue,
  candidates: readonly (readonly SplitMember[])[],
): SplitStep | undefined {
  const capacity = capacityOf(split);
  const before = value.ofPresent(capacity);
  const fastest = split
    .filter((member) => member.stage === ReplicaStage.prefill)
    .sort((a, b) => rateOf(b) - rateOf(a))
    .slice(0, MAX_OF_STAGE + 1);
  const halls = hallStagesOf(split);
  const minGain = Math.min(MAX_MIN_GAIN, MIN_GAIN_OF_REPLICA / split.length);
  const tolerance = minGain * TOLERANCE_OF_MIN_GAIN;
  let best: Candidate | undefined;
  for (const changed of candidates) {
    const after = value.of(capacityAfter(capacity, fastest, changed));
    const gain = after / before - 1 - minGain * changed.length;
    if (gain < 0 || (best && gain < best.gain - tolerance)) continue;
    const hallsAfter = hallStagesAfter(halls, changed);
    if (!keepsStages(halls, hallsAfter)) continue;
    const balance = hallsWithBothStages(hallsAfter);
    const candidate = { changed, value: after, gain, balance };
    if (!best || isBetter(candidate, best, tolerance)) best = candidate;
  }
  if (!best) return undefined;
  const changes = best.changed.map(({ replica, stage }) => ({
    replica,
    stage: otherStage(stage),
  }));
  return { changes, value: best.value };
}

type Candidate = {
  /** Replicas that get the other stage. */
  readonly changed: readonly SplitMember[];
  /** The value of the split after it. */
  readonly value: number;
  /** Share by which the value rises, beyond the least gain. */
  readonly gain: number;
  /** Halls with both stages after it. */
  readonly balance: number;
};

function isBetter(
  candidate: Candidate,
  best: Candidate,
  tolerance: number,
): boolean {
  if (candidate.gain > best.gain + tolerance) return true;
  if (candidate.balance !== best.balance) {
    return candidate.balance > best.balance;
  }
  return candidate.gain > best.gain;
}

/** The replicas of both stages, the slowest first. */
type SortedSplit = {
  readonly prefills: readonly SplitMember[];
  readonly decodes: readonly SplitMember[];
};

/** Replicas that may change their stage alone. */
function singles({ prefills, decodes }: SortedSplit): SplitMember[][] {
  return [...extremes(prefills), ...extremes(decodes)].map((
    member,
  ) => [member]);
}

/** Replicas of both stages that may change together: two or three. */
function swaps(sorted: SortedSplit): SplitMember[][] {
  const prefills = extremes(sorted.prefills);
  const decodes = extremes(sorted.decodes);
  const prefillPairs = pairs(sorted.prefills);
  const decodePairs = pairs(sorted.decodes);
  return [
    ...prefills.flatMap((prefill) => [
      ...decodes.map((decode) => [prefill, decode]),
      ...decodePairs.map((pair) => [prefill, ...pair]),
    ]),
    ...decodes.flatMap((decode) =>
      prefillPairs.map((pair) => [...pair, decode])
    ),
  ];
}

function rateOf({ capacity }: SplitMember): number {
  return capacity.promptTokensPerSecond;
}

/** The replicas of a stage that can change it, the slowest first. */
function bySpeed(
  split: readonly SplitMember[],
  stage: ReplicaStage,
): SplitMember[] {
  return split.filter((member) => member.canChange && member.stage === stage)
    .sort((a, b) => a.capacity.speed - b.capacity.speed);
}

/** The two slowest, the two fastest, and the slowest with the fastest. */
function pairs(sorted: readonly SplitMember[]): SplitMember[][] {
  if (sorted.length < 2) return [];
  const ends = [...sorted.slice(0, 1), ...sorted.slice(-1)];
  if (sorted.length === 2) return [ends];
  return [sorted.slice(0, 2), sorted.slice(-2), ends];
}

/** The slowest and the fastest replica in each hall. */
function extremes(sorted: readonly SplitMember[]): SplitMember[] {
  const halls = new Map<string, { slow: SplitMember; fast: SplitMember }>();
  for (const member of sorted) {
    const known = halls.get(member.replica.hall);
    if (known) known.fast = member;
    else halls.set(member.replica.hall, { slow: member, fast: member });
  }
  return [...halls.values()].flatMap(({ slow, fast }) =>
    slow === fast ? [slow] : [slow, fast]
  );
}
