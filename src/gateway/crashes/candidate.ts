/** Suspects that may be quarantined, and the evidence against each. */
import type { Milliseconds } from "../../util/units.ts";
import { type CrashRule, SuspectKind } from "./model.ts";
import {
  countServedCrashes,
  findService,
  unrelatedCrashRate,
} from "./service_crashes.ts";
import {
  countedCrashes,
  depthOf,
  responsesOf,
  type Suspect,
  type SuspectCrash,
} from "./suspect.ts";

/**
 * Additional crashes before a suspect is quarantined that ran together with
 * another one each time, or that had been served more often than it crashed a
 * replica. In the first case either may be the cause, and a run of only one of
 * them may show which.
 */
const EXTRA_CRASHES = 2;
/**
 * Replicas that crash within this time of each other crash simultaneously. Hosts
 * see crashes with one cause within a few milliseconds.
 */
const SIMULTANEOUS_MS: Milliseconds = 50;
/**
 * Crashes of its service behind which other requests were served, before a
 * suspect is quarantined that had been served more often than it crashed a
 * replica.
 */
const MIN_SERVED_CRASHES = 5;
/** Shortest run for which a crash by chance is worked out. */
const MIN_RUN_MS: Milliseconds = 100;
/**
 * Largest probability that the suspect only ran by chance where replicas
 * crashed. Many suspects are judged while replicas crash for other causes.
 */
const MAX_CHANCE = 1e-3;
/** Maximum number of candidates that are compared with each other. */
const MAX_CANDIDATES = 64;

/** The suspects by fingerprint. */
export type Suspects = ReadonlyMap<string, Suspect>;

/** A suspect with the crashes that count for it. */
export type Candidate = {
  readonly fingerprint: string;
  readonly suspect: Suspect;
  /** Incarnations of replicas whose crashes no quarantine explains. */
  readonly crashes: readonly string[];
  /** Number of crashes that are evidence of their own. */
  readonly evidence: number;
  /** Absent if no host has reported it. */
  readonly service: Suspect | undefined;
};

/** The suspects that may be quarantined, and the crashes that count. */
export function findCandidates(
  suspects: Suspects,
  rule: CrashRule,
): Candidate[] {
  const { crashThreshold } = rule;
  const found = [...suspects].filter(([, { kind, crashes }]) =>
    kind !== SuspectKind.service && crashes.size >= crashThreshold
  );
  if (found.length === 0) return [];
  const times = crashTimes(suspects);
  const services = [...suspects.values()].filter(({ kind }) =>
    kind === SuspectKind.service
  );
  return found.map(([fingerprint, suspect]) => {
    const crashes = countedCrashes(suspect)
      .filter((crashed) => !hasCommonCause(crashed, suspect, times));
    const evidence = countEvidence(suspect, crashes);
    const service = findService(services, crashes);
    return { fingerprint, suspect, crashes, evidence, service };
  }).filter((candidate) => !isProtected(candidate, rule))
    .sort(compareCandidates)
    .slice(0, MAX_CANDIDATES);
}

/** Orders the worst first; ties are broken the same way at all hosts. */
export function compareCandidates(a: Candidate, b: Candidate): number {
  if (a.evidence !== b.evidence) return b.evidence - a.evidence;
  return a.fingerprint < b.fingerprint ? -1 : 1;
}

/** The candidate without the crashes that another one explains. */
export function withoutCrashes(
  candidate: Candidate,
  cause: Candidate,
): Candidate {
  const crashes = candidate.crashes.filter((incarnation) =>
    !cause.crashes.includes(incarnation)
  );
  if (crashes.length === candidate.crashes.length) return candidate;
  const evidence = countEvidence(candidate.suspect, crashes);
  return { ...candidate, crashes, evidence };
}

/** The threshold for suspects that need more crashes, see {@link EXTRA_CRASHES}. */
export function raisedThreshold({ crashThreshold }: CrashRule): number {
  return crashThreshold + EXTRA_CRASHES;
}

/** Whether the candidate is a part of prompts. */
export function isPart({ suspect }: Candidate): boolean {
  return suspect.kind === SuspectKind.part;
}

/**
 * Whether the suspect was served more often than it crashed replicas, up to its
 * last response.
 */
export function isServedOften(suspect: Suspect): boolean {
  const { length } = countedCrashes(suspect);
  return responsesOf(suspect) > suspect.crashes.size - length;
}

function countEvidence(suspect: Suspect, crashes: readonly string[]): number {
  return independentCrashes(suspect, crashes).length;
}

/**
 * Whether it is unlikely that a part only ran by chance at the replicas that
 * crashed. A run that has only begun is rarely hit by chance, one that lasts is
 * more likely, and both are where replicas crash all the time. A request alone
 * is not judged by it: few run as often as a part that requests share.
 */
export function isUnlikelyByChance(candidate: Candidate): boolean {
  if (!isPart(candidate)) return true;
  const { suspect, crashes, service } = candidate;
  const rate = unrelatedCrashRate(service, suspect, crashes);
  const chances = independentCrashes(suspect, crashes)
    .map(({ ranMs }) => 1 - Math.exp(-rate * Math.max(MIN_RUN_MS, ranMs)));
  return combinedChance(chances) <= MAX_CHANCE;
}

/**
 * The probability that all runs are hit as early as these or earlier, by
 * Fisher's method: the logarithm of a product of independent uniform variables
 * has a gamma distribution.
 */
function combinedChance(chances: readonly number[]): number {
  const product = chances.reduce((one, other) => one * other, 1);
  let term = 1;
  let sum = 0;
  for (let index = 0; index < chances.length; index++) {
    sum += term;
    term *= -Math.log(product) / (index + 1);
  }
  return product * sum;
}

/** Whether one more crash may quarantine the suspect. */
export function isNearQuarantine(
  suspect: Suspect,
  { crashThreshold }: CrashRule,
): boolean {
  if (isServedOften(suspect)) return false;
  const evidence = countEvidence(suspect, countedCrashes(suspect));
  return evidence >= crashThreshold - 1;
}

/**
 * Of a part's crashes one for each request that had it: one request is evidence
 * against all its parts, however many replicas crash under it. The shortest run
 * of the request counts.
 */
function independentCrashes(
  { kind, crashes }: Suspect,
  incarnations: readonly string[],
): readonly SuspectCrash[] {
  const counted = incarnations.map((incarnation) => crashes.get(incarnation))
    .filter((crash) => crash !== undefined);
  if (kind !== SuspectKind.part) return counted;
  const byRequest = new Map<string, SuspectCrash>();
  for (const crash of counted) {
    const request = crash.prompt?.request ?? "";
    const known = byRequest.get(request);
    if (!known || crash.ranMs < known.ranMs) byRequest.set(request, crash);
  }
  return [...byRequest.values()];
}

/**
 * Whether the suspect probably ran beside the cause: it was served more often
 * than replicas crashed under it, or it is the first part of prompts, which
 * whole routes share. It is protected until other requests have been served
 * again after several crashes while it never was.
 */
function isProtected(
  { suspect, crashes, evidence, service }: Candidate,
  rule: CrashRule,
): boolean {
  if (!isServedOften(suspect) && !isFirstPart(suspect)) return false;
  if (evidence < raisedThreshold(rule)) return true;
  if (!service) return true;
  return countServedCrashes(service, crashes) < MIN_SERVED_CRASHES;
}

function isFirstPart(suspect: Suspect): boolean {
  return suspect.kind === SuspectKind.part && depthOf(suspect) === 0;
}

/** The earliest recorded time of each replica's crash. */
function crashTimes(suspects: Suspects): Map<string, Milliseconds> {
  const times = new Map<string, Milliseconds>();
  for (const { crashes } of suspects.values()) {
    for (const [incarnation, { at }] of crashes) {
      times.set(incarnation, Math.min(at, times.get(incarnation) ?? at));
    }
  }
  return times;
}

/**
 * Whether another replica crashed simultaneously that didn't run the suspect.
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
