/**
 * Finds the requests and the parts of prompts that crash replicas, from the
 * crashes and the complete responses of all suspects. Hosts with the same
 * records reach the same result.
 *
 * All that ran at a replica shares its crash. The suspect with the most crashes
 * is quarantined first, and its crashes no longer count for the others. Replicas
 * that crash simultaneously are assumed to have a common cause, so their crashes
 * don't count for what ran at only some of them. A complete response clears a
 * suspect of its earlier crashes.
 */
import type { Milliseconds } from "../../util/units.ts";
import {
  type Candidate,
  compareCandidates,
  findCandidates,
  isPart,
  isServedOften,
  isUnlikelyByChance,
  raisedThreshold,
  type Suspects,
  withoutCrashes,
} from "./candidate.ts";
import type { CrashRule, Quarantine } from "./model.ts";
import { depthOf, lastCrashAt, responsesOf } from "./suspect.ts";

/**
 * Duration of the quarantine of a part, and of a request that had been served.
 * It doubles with each further crash: the suspect may run again afterwards, in
 * case it was not the cause, and one that is costs one replica each time.
 */
const PROBATION_MS: Milliseconds = 60_000;

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
    const [worst, ...others] = remaining;
    if (!worst || worst.evidence < crashThreshold) return quarantines;
    remaining = others;
    const rivals = [...remaining, ...undecided].filter((other) =>
      other.evidence >= crashThreshold && mayBeTheCause(other, worst)
    );
    const needed = rivals.length > 0 ? raisedThreshold(rule) : crashThreshold;
    if (worst.evidence < needed || !isUnlikelyByChance(worst)) {
      undecided.push(worst);
      continue;
    }
    const cause = narrowestOf(worst, rivals);
    quarantines.set(cause.fingerprint, quarantineOf(cause, rule));
    if (cause !== worst) remaining.push(worst);
    remaining = remaining.filter((candidate) => candidate !== cause)
      .map((candidate) => withoutCrashes(candidate, cause))
      .sort(compareCandidates);
  }
}

/**
 * Whether the other suspect may have caused the crashes of the worst one, too.
 * Between parts one crash may be missing: the first part of prompts also runs
 * without the one that crashes replicas.
 */
function mayBeTheCause(other: Candidate, worst: Candidate): boolean {
  const maxMissing = isPart(other) && isPart(worst) ? 1 : 0;
  const missing = worst.crashes.filter((incarnation) =>
    !other.crashes.includes(incarnation)
  );
  return missing.length <= maxMissing;
}

/**
 * Of parts that may be the cause, the one that the fewest requests have: each
 * part of a prompt is shared by at most as many requests as the parts before.
 */
function narrowestOf(
  worst: Candidate,
  rivals: readonly Candidate[],
): Candidate {
  if (!isPart(worst)) return worst;
  let narrowest = worst;
  for (const rival of rivals.filter(isPart)) {
    const isNarrower = depthOf(rival.suspect) > depthOf(narrowest.suspect);
    if (isNarrower) narrowest = rival;
  }
  return narrowest;
}

function quarantineOf(candidate: Candidate, rule: CrashRule): Quarantine {
  const { fingerprint, suspect, crashes } = candidate;
  return {
    kind: suspect.kind,
    fingerprint,
    incarnations: crashes,
    responses: responsesOf(suspect),
    until: lastCrashAt(suspect) + durationOf(candidate, rule),
  };
}

function durationOf(
  candidate: Candidate,
  rule: CrashRule,
): Milliseconds {
  const { crashThreshold, ttlMs } = rule;
  const isServed = isServedOften(candidate.suspect);
  if (!isServed && !isPart(candidate)) return ttlMs;
  const needed = isServed ? raisedThreshold(rule) : crashThreshold;
  const further = candidate.evidence - needed;
  return Math.min(ttlMs, PROBATION_MS * 2 ** further);
}
