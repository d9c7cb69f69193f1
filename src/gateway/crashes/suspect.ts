/** The crashes and the complete responses of one suspect. */
import type { Milliseconds } from "../../util/units.ts";
import type {
  Clearance,
  CrashedPrompt,
  CrashRecord,
  SuspectKind,
} from "./model.ts";

/** Maximum number of crashes that are stored of a service. */
export const MAX_SERVICE_CRASHES = 64;
/**
 * Maximum number of crashes that are stored of a suspect. Of a service they are
 * counted, of others more don't change the result.
 */
const MAX_CRASHES: Readonly<Record<SuspectKind, number>> = {
  request: 8,
  part: 24,
  service: MAX_SERVICE_CRASHES,
};
/**
 * Maximum number of hosts whose responses are stored. With so many, there have
 * been more responses than crashes are stored.
 */
const MAX_HOSTS = 16;
/** Number of responses from which on further ones are not reported. */
const MAX_RESPONSES = 32;
/** Maximum number of times of responses that are stored. */
const MAX_RESPONSE_TIMES = 16;

/** A crash of a replica that ran a suspect. */
export type SuspectCrash = {
  readonly at: Milliseconds;
  /** As in {@link CrashRecord}. */
  readonly ranMs: Milliseconds;
  readonly prompt?: CrashedPrompt;
  readonly replicas?: number;
};

/** A suspect with recorded crashes. */
export type Suspect = {
  readonly kind: SuspectKind;
  /** By the incarnation of the replica that crashed. */
  readonly crashes: Map<string, SuspectCrash>;
  /** The number of recent complete responses, by host. */
  readonly responses: Map<string, number>;
  /** When complete responses ended that cleared crashes, the last one last. */
  readonly responseTimes: Milliseconds[];
};

/** Creates a suspect without crashes and responses. */
export function createSuspect(kind: SuspectKind): Suspect {
  return { kind, crashes: new Map(), responses: new Map(), responseTimes: [] };
}

/**
 * Adds a crash; false if that changes nothing. Several hosts may report the same
 * crash, of different runs of the suspect.
 */
export function addCrash(
  { kind, crashes }: Suspect,
  record: CrashRecord,
): boolean {
  const { incarnation, at, ranMs, prompt, replicas } = record;
  const known = crashes.get(incarnation);
  if (known) {
    const merged = withRun(known, record);
    crashes.set(incarnation, merged);
    return merged !== known;
  }
  crashes.set(incarnation, {
    at,
    ranMs,
    ...(prompt && { prompt }),
    ...(replicas !== undefined && { replicas }),
  });
  if (crashes.size <= MAX_CRASHES[kind]) return true;
  const oldest = oldestCrash(crashes);
  crashes.delete(oldest);
  return oldest !== incarnation;
}

/**
 * The crash with another run of the suspect there. The longest run counts, and
 * the first in the order of the requests, so that all hosts store the same.
 */
function withRun(
  known: SuspectCrash,
  { ranMs, prompt }: CrashRecord,
): SuspectCrash {
  const isLonger = ranMs > known.ranMs;
  const isFirst = prompt !== undefined &&
    prompt.request < (known.prompt?.request ?? "");
  if (!isLonger && !isFirst) return known;
  return {
    ...known,
    ...(isLonger && { ranMs }),
    ...(isFirst && { prompt }),
  };
}

/** Adds complete responses; false if that changes no result. */
export function addResponses(
  suspect: Suspect,
  { at, host, responses }: Clearance,
): boolean {
  const before = countedCrashes(suspect).length;
  const isNewest = at > lastResponseAt(suspect);
  if (isNewest) addResponseTime(suspect, at);
  const hasCleared = countedCrashes(suspect).length < before;
  const known = suspect.responses.get(host) ?? 0;
  const hasMore = responses > known && acceptsResponses(suspect) &&
    (known > 0 || suspect.responses.size < MAX_HOSTS);
  if (hasMore) suspect.responses.set(host, responses);
  return hasCleared || hasMore;
}

/** Whether more responses would change the result. */
export function acceptsResponses(suspect: Suspect): boolean {
  return responsesOf(suspect) < MAX_RESPONSES;
}

/** The replicas that crashed since the last complete response. */
export function countedCrashes(suspect: Suspect): string[] {
  const answeredAt = lastResponseAt(suspect);
  return [...suspect.crashes].filter(([, { at }]) => at > answeredAt)
    .map(([incarnation]) => incarnation);
}

/** Number of recent complete responses at all hosts. */
export function responsesOf({ responses }: Suspect): number {
  let sum = 0;
  for (const count of responses.values()) sum += count;
  return sum;
}

/** Number of parts before this one; the largest, where prompts differ. */
export function depthOf({ crashes }: Suspect): number {
  const depths = [...crashes.values()].map(({ prompt }) => prompt?.depth ?? 0);
  return Math.max(0, ...depths);
}

/** When the last of its replicas crashed. */
export function lastCrashAt({ crashes }: Suspect): Milliseconds {
  return Math.max(...[...crashes.values()].map(({ at }) => at));
}

/** When its last complete response ended; -Infinity if it had none. */
export function lastResponseAt({ responseTimes }: Suspect): Milliseconds {
  return responseTimes.at(-1) ?? -Infinity;
}

function addResponseTime({ responseTimes }: Suspect, at: Milliseconds): void {
  responseTimes.push(at);
  if (responseTimes.length > MAX_RESPONSE_TIMES) responseTimes.shift();
}

/** Ties are broken the same way at all hosts. */
function oldestCrash(crashes: ReadonlyMap<string, SuspectCrash>): string {
  let oldest = "";
  let oldestAt = Infinity;
  for (const [incarnation, { at }] of crashes) {
    const isOlder = at < oldestAt || (at === oldestAt && incarnation < oldest);
    if (!isOlder) continue;
    oldest = incarnation;
    oldestAt = at;
  }
  return oldest;
}
