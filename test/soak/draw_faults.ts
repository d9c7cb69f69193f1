/** Draws faults of given kinds; pure functions. */
import { type RandomGenerator, unsafeSkipN, xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";

/** From what a schedule is drawn. */
export type ScheduleOptions = {
  readonly seed: number;
  /** Faults start within this time. */
  readonly windowMs: number;
  /** Leaves out the kinds that were added later; for regression seeds. */
  readonly isFirstKindsOnly?: boolean;
  /** Machines of hosts sleep, too. */
  readonly hasSleeps?: boolean;
  /** Hosts are out of step while a software version joins. */
  readonly hasOutOfStepHosts?: boolean;
  /** Another writer's odd rows appear while a software version joins. */
  readonly hasOddRows?: boolean;
  /** Disruptions around starts and stops, and bytes without end. */
  readonly hasLifecycleFaults?: boolean;
  /** Leaves out all faults but these. */
  readonly only?: "outOfStep" | "lifecycle" | undefined;
};

/** The shortest duration of a fault. */
export const MIN_DURATION_MS = 300;
const DURATION_RANGE_MS = 3700;

/** The first numbers that are not used of a generator. */
const SKIPPED_NUMBERS = 16;

/**
 * A generator whose numbers differ between neighbouring seeds: the first ones
 * of a fresh generator are related.
 */
export function mixedGenerator(seed: number): RandomGenerator {
  const random = xoroshiro128plus(seed);
  unsafeSkipN(random, SKIPPED_NUMBERS);
  return random;
}

/** Draws a number of faults of the given kinds, in order of their start. */
export function drawFaults(
  random: RandomGenerator,
  { windowMs }: Pick<ScheduleOptions, "windowMs">,
  { kinds, count }: {
    readonly kinds: readonly FaultKind[];
    readonly count: number;
  },
): Fault[] {
  const faults = Array.from({ length: count }, () => ({
    kind: kinds[randomInt(random, kinds.length)] ?? FaultKind.config,
    atMs: randomInt(random, windowMs),
    durationMs: MIN_DURATION_MS + randomInt(random, DURATION_RANGE_MS),
    target: randomInt(random, 1000),
  }));
  return faults.sort((a, b) => a.atMs - b.atMs);
}
