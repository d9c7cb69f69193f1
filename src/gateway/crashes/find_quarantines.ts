/**
 * Finds the requests that crash replicas, from the crashes and the complete
 * responses of all suspects. Hosts with the same records reach the same result.
 *
 * All requests that ran at a replica share its crash. The request with the most
 * crashes is quarantined first, and its crashes no longer count for the others.
 * Replicas that crash simultaneously are assumed to have a common cause, so
 * their crashes don't count for requests that ran at only some of them. A
 * complete response clears a request of its earlier crashes.
 */
import type { Milliseconds } from "../../util/units.ts";
import { type CrashRule, type Quarantine, SuspectKind } from "./model.ts";
import {
  countedCrashes,
  lastCrashAt,
  responsesOf,
  type Suspect,
} from "./suspect.ts";

/**
 * Additional crashes before a request is quarantined that ran together with
 * another one each time, or that was served more often than it crashed a
 * replica. In the first case either may be the cause, and a retry of only one
 * of them may show which.
 */
const EXTRA_CRASHES = 2;
/**
 * Replicas that crash within this time of each other crash simultaneously. Hosts
 * see crashes with one cause within a few milliseconds.
 */
const SIMULTANEOUS_MS = 50;
/**
 * Crashes of its service behind which other requests were served, before a
 * request is quarantined that had been served more often than it crashed a
 * replica.
 */
const MIN_SERVED_CRASHES = 3;
/**
 * Duration of the quarantine of a request that had been served. It doubles with
 * each further crash: the request may run again afterwards, in case it was not
 * the cause, and one that is costs one replica each time.
 */
const PROBATION_MS: Milliseconds = 60_000;

/** The suspects by fingerprint. */
export type Suspects = ReadonlyMap<string, Suspect>;

/** A request with the crashes that count for it. */
type Candidate = {
  readonly fingerprint: string;
  readonly suspect: Suspect;
  /** Incarnations of replicas whose crashes no quarantine explains. */
  readonly crashes: readonly string[];
};

/** Returns the quarantines by fingerprint. */
export function findQuarantines(
  suspects: Suspects,
  rule: CrashRule,
): Map<string, Quarantine> {
  const { crashThreshold } = rule;
  const quarantines = new Map<string, Quarantine>();
  const undecided: Candidate[] = [];
  let remaining = findCandidates(suspects, rule);
  for (;;) {
    const worst = worstOf(remaining, crashThreshold);
    if (!worst) return quarantines;
    remaining = remaining.filter((candidate) => candidate !== worst);
    const isAmbiguous = [...remaining, ...undecided].some((other) =>
      worst.crashes.every((incarnation) => other.crashes.includes(incarnation))
    );
    const needed = isAmbiguous
      ? crashThreshold + EXTRA_CRASHES
      : crashThreshold;
    if (worst.crashes.length < needed) {
      undecided.push(worst);
      continue;
    }
    quarantines.set(worst.fingerprint, quarantineOf(worst, rule));
    remaining = remaining.map((candidate) => withoutCrashes(candidate, worst));
  }
}

/** The requests that may be quarantined, and the crashes that count. */
function findCandidates(suspects: Suspects, rule: CrashRule): Candidate[] {
  const { crashThreshold } = rule;
  const found = [...suspects].filter(([, { kind, crashes }]) =>
    kind !== SuspectKind.service && crashes.size >= crashThreshold
  );
  if (found.length === 0) return [];
  const times = crashTimes(suspects);
  return found.map(([fingerprint, suspect]) => {
    const crashes = countedCrashes(suspect)
      .filter((crashed) => !hasCommonCause(crashed, suspect, times));
    return { fingerprint, suspect, crashes };
  }).filter((candidate) => !isProtected(candidate, suspects, rule));
}

/**
 * Whether the request was served more often than replicas crashed under it, so
 * that it probably ran beside the cause. It is protected until other requests
 * have been served again after several crashes while it never was.
 */
function isProtected(
  { suspect, crashes }: Candidate,
  suspects: Suspects,
  { crashThreshold }: CrashRule,
): boolean {
  if (!isServedOften(suspect)) return false;
  if (crashes.length < crashThreshold + EXTRA_CRASHES) return true;
  return countServedCrashes(crashes, suspects) < MIN_SERVED_CRASHES;
}

function isServedOften(suspect: Suspect): boolean {
  return responsesOf(suspect) > suspect.crashes.size;
}

/**
 * Number of crashes of the service, from the first of the given ones on, behind
 * each of which a request of the service was served.
 */
function countServedCrashes(
  crashes: readonly string[],
  suspects: Suspects,
): number {
  const service = [...suspects.values()].find((suspect) =>
    suspect.kind === SuspectKind.service &&
    crashes.some((incarnation) => suspect.crashes.has(incarnation))
  );
  if (!service) return 0;
  const known = crashes.map((incarnation) =>
    service.crashes.get(incarnation) ?? Infinity
  );
  const from = Math.min(...known);
  const times = [...service.crashes.values()].filter((at) => at >= from)
    .sort((a, b) => a - b);
  return times.filter((at, index) => {
    const next = times[index + 1] ?? Infinity;
    return service.responseTimes.some((time) => time > at && time <= next);
  }).length;
}

function quarantineOf(
  { suspect, crashes }: Candidate,
  { crashThreshold, ttlMs }: CrashRule,
): Quarantine {
  const further = crashes.length - crashThreshold - EXTRA_CRASHES;
  const durationMs = isServedOften(suspect)
    ? Math.min(ttlMs, PROBATION_MS * 2 ** further)
    : ttlMs;
  return {
    incarnations: crashes,
    responses: responsesOf(suspect),
    until: lastCrashAt(suspect) + durationMs,
  };
}

function withoutCrashes(candidate: Candidate, cause: Candidate): Candidate {
  const crashes = candidate.crashes.filter((incarnation) =>
    !cause.crashes.includes(incarnation)
  );
  return { ...candidate, crashes };
}

/** The earliest recorded time of each replica's crash. */
function crashTimes(suspects: Suspects): Map<string, Milliseconds> {
  const times = new Map<string, Milliseconds>();
  for (const { crashes } of suspects.values()) {
    for (const [incarnation, at] of crashes) {
      times.set(incarnation, Math.min(at, times.get(incarnation) ?? at));
    }
  }
  return times;
}

/**
 * Whether another replica crashed simultaneously that didn't run the request.
 * Then both are assumed to have a common cause, such as a rack or a release.
 */
function hasCommonCause(
  incarnation: string,
  { crashes }: Suspect,
  times: ReadonlyMap<string, Milliseconds>,
): boolean {
  const at = times.get(incarnation) ?? 0;
  for (const [other, otherAt] of times) {
    if (crashes.has(other)) continue;
    if (Math.abs(at - otherAt) <= SIMULTANEOUS_MS) return true;
  }
  return false;
}

/**
 * The request with the most crashes; ties are broken the same way at all hosts.
 */
function worstOf(
  candidates: readonly Candidate[],
  minCrashes: number,
): Candidate | undefined {
  let worst: Candidate | undefined;
  for (const candidate of candidates) {
    const { fingerprint, crashes: { length } } = candidate;
    if (length < minCrashes) continue;
    const worstLength = worst?.crashes.length ?? 0;
    const isWorse = length > worstLength ||
      (length === worstLength && fingerprint < (worst?.fingerprint ?? ""));
    if (isWorse) worst = candidate;
  }
  return worst;
}
