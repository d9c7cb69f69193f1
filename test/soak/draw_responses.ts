/** Draws how replicas send their responses; pure functions. */
import { randomInt } from "../../src/util/random.ts";
import {
  drawFaults,
  mixedGenerator,
  type ScheduleOptions,
} from "./draw_faults.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";
import type { FramingLoad } from "./response_shapes.ts";

/** Kinds of faults that are drawn here. */
export const CUT_RESPONSE_KINDS: readonly FaultKind[] = [
  FaultKind.replicaCutsResponses,
  FaultKind.replicaCutsResponses,
  FaultKind.serviceCutsResponses,
];
/** Shares of responses that end with their connection, in percent. */
const UNFRAMED_PERCENTS = [0, 10, 50, 100];
/** The exclusive upper bound of a draw from 0. */
const CUT_RESPONSE_RANGE = 4;
const RESPONSE_SEED = 7_000_003;

/** Draws the framing of responses, and replicas that cut them. */
export function drawResponses(options: ScheduleOptions): {
  readonly framing: FramingLoad;
  readonly faults: readonly Fault[];
} {
  const seed = options.seed + RESPONSE_SEED;
  const random = mixedGenerator(seed);
  const at = randomInt(random, UNFRAMED_PERCENTS.length);
  const framing = { seed, unframedPercent: UNFRAMED_PERCENTS[at] ?? 0 };
  const faults = drawFaults(random, options, {
    kinds: CUT_RESPONSE_KINDS,
    count: randomInt(random, CUT_RESPONSE_RANGE),
  });
  return { framing, faults };
}
