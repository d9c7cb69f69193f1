/** Draws releases of replica software, and kills of hosts beside them. */
import { randomInt } from "../../src/util/random.ts";
import {
  drawFaults,
  mixedGenerator,
  type ScheduleOptions,
} from "./draw_faults.ts";
import { type Fault, FaultKind } from "./fault_kinds.ts";

/** What a schedule holds for releases. */
export type Releases = {
  readonly resumingCallers: number;
  readonly faults: readonly Fault[];
};

/** Kinds of faults that change the software versions of replicas. */
export const RELEASE_KINDS: readonly FaultKind[] = [
  FaultKind.release,
  FaultKind.replicaChangesVersion,
];

/** All replicas keep their software version. */
export const NO_RELEASES: Releases = { resumingCallers: 0, faults: [] };

const RELEASE_SEED = 8_000_009;
/** One run in this many has releases. */
const RELEASE_ONE_IN = 2;
const VERSION_CHANGE_RANGE = 3;
const KILL_ROUND_RANGE = 2;
const CALLERS_PER_HOST = 8;
/** The time until a release is taken back. */
const MIN_RELEASE_MS = 1500;
const RELEASE_RANGE_MS = 2000;
/** The time from the start of a release in which hosts are killed. */
const KILL_WINDOW_MS = 6000;
/** The share of the hosts that is killed at once. */
const KILLED_ONE_IN = 3;

/** Draws the releases of a run with this number of hosts. */
export function drawReleases(
  options: ScheduleOptions,
  hosts: number,
): Releases {
  const random = mixedGenerator(options.seed + RELEASE_SEED);
  if (randomInt(random, RELEASE_ONE_IN) !== 0) return NO_RELEASES;
  // Most other faults have ended when the release is taken back.
  const startMs = Math.floor(options.windowMs / 2);
  const [release] = drawFaults(random, { windowMs: startMs }, {
    kinds: [FaultKind.release],
    count: 1,
  });
  if (!release) return NO_RELEASES;
  const atMs = startMs + release.atMs;
  const durationMs = MIN_RELEASE_MS + randomInt(random, RELEASE_RANGE_MS);
  const changes = drawFaults(random, options, {
    kinds: [FaultKind.replicaChangesVersion],
    count: randomInt(random, VERSION_CHANGE_RANGE),
  });
  const kills = drawFaults(random, { windowMs: KILL_WINDOW_MS }, {
    kinds: [FaultKind.kill],
    count: 1 + randomInt(random, KILL_ROUND_RANGE),
  }).map((kill) => ({ ...kill, atMs: atMs + kill.atMs }));
  return {
    resumingCallers: hosts * CALLERS_PER_HOST,
    faults: [
      { ...release, atMs, durationMs },
      ...changes,
      ...kills.flatMap((kill) => killTogether(kill, hosts)),
    ],
  };
}

/** Kills a third of the hosts at the time of a fault. */
function killTogether(fault: Fault, hosts: number): Fault[] {
  return Array.from({ length: Math.ceil(hosts / KILLED_ONE_IN) }, (_, at) => ({
    ...fault,
    target: fault.target + at,
  }));
}
