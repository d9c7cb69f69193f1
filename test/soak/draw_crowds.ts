/**
 * Draws callers whose requests share a part of their prompts that crashes
 * replicas, and crowds of new connections at one host; pure functions.
 */
import { randomInt } from "../../src/util/random.ts";
import {
  drawFaults,
  mixedGenerator,
  type ScheduleOptions,
} from "./draw_faults.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";

/** Kinds of faults that are drawn here. */
export const CROWD_KINDS: readonly FaultKind[] = [FaultKind.hotHost];

const CROWD_SEED = 10_000_019;
const PART_CALLER_ONE_IN = 2;
/** The exclusive upper bound of the number of crowds. */
const CROWD_RANGE = 3;
/** Longer than the time in which the fleet has to settle. */
const MIN_CROWD_MS = 4000;
const CROWD_RANGE_MS = 3000;

/** What is drawn here. */
export type Crowds = {
  /** One caller sends requests with a part that crashes replicas. */
  readonly hasPartCaller: boolean;
  readonly faults: readonly Fault[];
};

/** A run without any of it. */
export const NO_CROWDS: Crowds = { hasPartCaller: false, faults: [] };

/** Draws from a generator of its own, so that seeds keep their other faults. */
export function drawCrowds(options: ScheduleOptions): Crowds {
  const random = mixedGenerator(options.seed + CROWD_SEED);
  const hasPartCaller = randomInt(random, PART_CALLER_ONE_IN) === 0;
  const count = randomInt(random, CROWD_RANGE);
  const faults = drawFaults(random, options, { kinds: CROWD_KINDS, count })
    .map((fault) => ({
      ...fault,
      durationMs: MIN_CROWD_MS + randomInt(random, CROWD_RANGE_MS),
    }));
  return { hasPartCaller, faults };
}
