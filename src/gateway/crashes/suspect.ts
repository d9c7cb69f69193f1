/** The crashes and the complete responses of one suspect. */
import type { Milliseconds } from "../../util/units.ts";
import type { Clearance, CrashRecord, SuspectKind } from "./model.ts";

/**
 * Maximum number of crashes that are stored of a suspect; more don't change the
 * result. It keeps a message with the full table below a link's limit of 1 MB.
 */
const MAX_CRASHES = 8;
/**
 * Maximum number of hosts whose responses are stored. With so many, there have
 * been more responses than crashes are stored.
 */
const MAX_HOSTS = 16;
/** Number of responses from which on further ones are not reported. */
const MAX_RESPONSES = 32;
/** Maximum number of times of responses that are stored. */
const MAX_RESPONSE_TIMES = 16;

/** A suspect with recorded crashes. */
export type Suspect = {
  readonly kind: SuspectKind;
  /** When each replica crashed, by incarnation. */
  readonly crashes: Map<string, Milliseconds>;
  /** The number of recent complete responses, by host. */
  readonly responses: Map<string, number>;
  /** When complete responses ended that cleared crashes, the last one last. */
  readonly responseTimes: Milliseconds[];
};

export function createSuspect(kind: SuspectKind): Suspect {
  return { kind, crashes: new Map(), responses: new Map(), responseTimes: [] };
}

/** Adds a crash; false if it is known, or older than all that are stored. */
export function addCrash(
  { crashes }: Suspect,
  { incarnation, at }: CrashRecord,
): boolean {
  if (crashes.has(incarnation)) return false;
  crashes.set(incarnation, at);
  if (crashes.size <= MAX_CRASHES) return true;
  const oldest = oldestCrash(crashes);
  crashes.delete(oldest);
  return oldest !== incarnation;
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
  const hasMore = responses > known &&
    responsesOf(suspect) < MAX_RESPONSES &&
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
  return [...suspect.crashes].filter(([, at]) => at > answeredAt)
    .map(([incarnation]) => incarnation);
}

/** Number of recent complete responses at all hosts. */
export function responsesOf({ responses }: Suspect): number {
  let sum = 0;
  for (const count of responses.values()) sum += count;
  return sum;
}

export function lastCrashAt({ crashes }: Suspect): Milliseconds {
  return Math.max(...crashes.values());
}

export function lastResponseAt({ responseTimes }: Suspect): Milliseconds {
  return responseTimes.at(-1) ?? -Infinity;
}

function addResponseTime({ responseTimes }: Suspect, at: Milliseconds): void {
  responseTimes.push(at);
  if (responseTimes.length > MAX_RESPONSE_TIMES) responseTimes.shift();
}

/** Ties are broken the same way at all hosts. */
function oldestCrash(crashes: ReadonlyMap<string, Milliseconds>): string {
  let oldest: readonly [string, Milliseconds] = ["", Infinity];
  for (const crash of crashes) {
    const [incarnation, at] = crash;
    const isOlder = at < oldest[1] ||
      (at === oldest[1] && incarnation < oldest[0]);
    if (isOlder) oldest = crash;
  }
  return oldest[0];
}
