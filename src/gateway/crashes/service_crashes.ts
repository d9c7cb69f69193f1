/** How often the replicas of a service crash, and whether it serves in between. */
import type { Milliseconds } from "../../util/units.ts";
import {
  MAX_SERVICE_CRASHES,
  type Suspect,
  type SuspectCrash,
} from "./suspect.ts";

/** Crashes within this time before a suspect's last one give the crash rate. */
const RATE_WINDOW_MS: Milliseconds = 30_000;
/** Shortest time over which a rate is worked out. */
const MIN_RATE_WINDOW_MS: Milliseconds = 1000;

/** The one of the services whose replicas crashed. */
export function findService(
  services: readonly Suspect[],
  incarnations: readonly string[],
): Suspect | undefined {
  return services.find(({ crashes }) =>
    incarnations.some((incarnation) => crashes.has(incarnation))
  );
}

/**
 * Number of crashes of the service, from the first of the given ones on, behind
 * each of which one of its requests was served.
 */
export function countServedCrashes(
  { crashes, responseTimes }: Suspect,
  incarnations: readonly string[],
): number {
  const from = Math.min(...timesOf(crashes, incarnations));
  const times = timesOf(crashes, [...crashes.keys()])
    .filter((at) => at >= from)
    .sort((a, b) => a - b);
  return times.filter((at, index) => {
    const next = times[index + 1] ?? Infinity;
    return responseTimes.some((time) => time > at && time <= next);
  }).length;
}

/**
 * Crashes per replica and millisecond without the suspect, up to its last crash.
 * The larger of two rates, since replicas may have begun to crash just now: since
 * the suspect's first crash, and over a fixed time. There one more crash is
 * assumed, since a rate of 0 would make any crash evidence.
 */
export function unrelatedCrashRate(
  service: Suspect | undefined,
  suspect: Suspect,
  incarnations: readonly string[],
): number {
  const all: ReadonlyMap<string, SuspectCrash> = service?.crashes ?? new Map();
  const times = timesOf(suspect.crashes, incarnations);
  const until = Math.max(...times);
  const unrelated = [...all].filter(([incarnation]) =>
    !suspect.crashes.has(incarnation)
  ).map(([, { at }]) => at);
  const countOver = (windowMs: Milliseconds) =>
    unrelated.filter((at) => at <= until && at >= until - windowMs).length;
  const windowMs = rateWindow(all, until);
  const sinceFirstMs = Math.max(
    MIN_RATE_WINDOW_MS,
    until - Math.min(...times),
  );
  const rate = Math.max(
    (countOver(windowMs) + 1) / windowMs,
    countOver(sinceFirstMs) / sinceFirstMs,
  );
  return rate / replicasOf(all);
}

/** The fixed time, or less where not all crashes within it are stored. */
function rateWindow(
  crashes: ReadonlyMap<string, SuspectCrash>,
  until: Milliseconds,
): Milliseconds {
  if (crashes.size < MAX_SERVICE_CRASHES) return RATE_WINDOW_MS;
  const oldest = Math.min(...timesOf(crashes, [...crashes.keys()]));
  const storedMs = Math.max(MIN_RATE_WINDOW_MS, until - oldest);
  return Math.min(RATE_WINDOW_MS, storedMs);
}

/** Mean number of replicas of the service when one crashed. */
function replicasOf(crashes: ReadonlyMap<string, SuspectCrash>): number {
  const counts = [...crashes.values()].map(({ replicas = 1 }) => replicas);
  if (counts.length === 0) return 1;
  const sum = counts.reduce((one, other) => one + other, 0);
  return Math.max(1, sum / counts.length);
}

function timesOf(
  crashes: ReadonlyMap<string, SuspectCrash>,
  incarnations: readonly string[],
): Milliseconds[] {
  return incarnations.flatMap((incarnation) => {
    const crash = crashes.get(incarnation);
    return crash ? [crash.at] : [];
  });
}
