/** The promises, checked on what callers and replicas saw; pure. */
import {
  type ReplicaArrival,
  type ReplicaFault,
  STREAM_EVENTS,
} from "../platform/replica_standin.ts";
import { CallKind, type Seen } from "./callers.ts";
import { LIMIT_SPAN_MS, mostAllowed } from "../platform/rate_windows.ts";
import { brokenPauses, sentAfterLeaving } from "./notices.ts";
import { sentBy } from "./sent.ts";
import { type LimitSpan, ROUTE_TIMEOUT_MS } from "./world.ts";
import type { Exit } from "./gateway_process.ts";

/** All that one run has left behind. */
export type Evidence = {
  readonly seen: readonly Seen[];
  readonly arrivals: readonly ReplicaArrival[];
  readonly faults: readonly ReplicaFault[];
  readonly exits: readonly (Exit & { readonly host: string })[];
  /** Versions in force as each life of each host told them, in order. */
  readonly versions: ReadonlyMap<string, readonly number[]>;
  /** Replicas that left, and when they must be free of new work. */
  readonly left: ReadonlyMap<string, number>;
  /** Requests that still ran at replicas long after the last caller. */
  readonly running: number;
  /** Hosts that did not serve again after the last fault. */
  readonly dead: readonly string[];
  /** Nothing but planned stops struck. */
  readonly isCalm: boolean;
  /** What replicas said of the rate that they take. */
  readonly limits: readonly LimitSpan[];
  /** Hosts that no fault struck, nor their paths. */
  readonly unstruck: ReadonlySet<string>;
  /** Replicas whose answers did not reach hosts for a time. */
  readonly unheard: ReadonlySet<string>;
  /** Hosts whose process ran all the time. */
  readonly steady: ReadonlySet<string>;
};

/** A promise that was broken. */
export type Violation = { readonly rule: string; readonly detail: string };

/** Names of the requests that crash their replicas begin so. */
export const CRASHING_NAME = "crashing";
const KNOWN_CRASHES = 3;
const MOST_LATE = 3;
/** An answer was passed on so long after its request came, and 0.5 s more. */
const PASSED_ON_MS = 700;
/** Hosts know of a crash, or a limit, by then. */
const TOLD_MS = 3000;

type Check = (evidence: Evidence) => Violation[];

const CHECKS: readonly Check[] = [
  checkAnswers,
  checkRuns,
  checkRefusals,
  checkLeft,
  checkVersions,
  checkExits,
  checkEnd,
  checkStops,
  checkCrashes,
  checkLimits,
  checkNotices,
];

/** Every promise that the run broke. */
export function findViolations(evidence: Evidence): Violation[] {
  return CHECKS.flatMap((check) => check(evidence));
}

/** A success is whole, and the caller's own. */
function checkAnswers({ seen, faults }: Evidence): Violation[] {
  const good = seen.filter((one) => one.status === 200 && one.isComplete);
  const wrong = good.filter((one) => !isOwnAndWhole(one));
  return [
    ...wrong.map((one) => ({
      rule: "whole and own answer",
      detail: `${one.id} at ${one.host}: ${JSON.stringify(one.body)}`,
    })),
    ...faults.map((one) => ({
      rule: "own memory",
      detail: `${one.request}: ${one.what}`,
    })),
  ];
}

function isOwnAndWhole(one: Seen): boolean {
  if (!one.seal.endsWith(`.${one.id}`)) return false;
  const isStream = one.kind === CallKind.stream ||
    one.kind === CallKind.resumable;
  return one.body === (isStream ? wholeStream(one.id) : `body of ${one.id}`);
}

function wholeStream(id: string): string {
  const events = Array.from({ length: STREAM_EVENTS }, (_, event) => {
    const last = event === STREAM_EVENTS - 1 ? " last" : "";
    return `id: ${event}\ndata: ${id}${last}\n\n`;
  });
  return events.join("");
}

/** What may not be repeated runs at most once. */
function checkRuns({ seen, arrivals }: Evidence): Violation[] {
  const runs = new Map<string, number>();
  for (const { request, ran } of arrivals) {
    if (ran) runs.set(request, (runs.get(request) ?? 0) + 1);
  }
  return seen.filter(isOnce).filter((one) => (runs.get(one.id) ?? 0) > 1)
    .map((one) => ({ rule: "at most once", detail: one.id }));
}

/** A refusal is a promise that nothing ran, or ever will. */
function checkRefusals({ seen, arrivals }: Evidence): Violation[] {
  const ran = new Set(
    arrivals.filter((one) => one.ran).map((one) => one.request),
  );
  const refused = seen.filter((one) =>
    isOnce(one) && [408, 421, 429, 503].includes(one.status)
  );
  return refused.filter((one) => ran.has(one.id))
    .map((one) => ({ rule: "not run is true", detail: one.id }));
}

function isOnce({ kind }: Seen): boolean {
  return kind === CallKind.unsafe || kind === CallKind.stream;
}

/** A replica that left takes no new work once hosts must know. */
function checkLeft({ arrivals, left }: Evidence): Violation[] {
  return arrivals.filter(({ replica, atMs }) =>
    atMs > (left.get(replica) ?? Infinity)
  ).map(({ request, replica }) => ({
    rule: "leaving takes no new work",
    detail: `${request} at ${replica}`,
  }));
}

/** A version in force never goes back in the life of a process. */
function checkVersions({ versions }: Evidence): Violation[] {
  const found: Violation[] = [];
  for (const [life, told] of versions) {
    const fell = told.some((one, at) => one < (told[at - 1] ?? 0));
    const rule = "a change never reverts";
    if (fell) found.push({ rule, detail: `${life}: ${told.join(", ")}` });
  }
  return found;
}

/** No process ends by itself. */
function checkExits({ exits }: Evidence): Violation[] {
  return exits.filter((one) => !one.isAsked).map((one) => ({
    rule: "no end of its own",
    detail: `${one.host}: code ${one.code}, signal ${one.signal}`,
  }));
}

/** After the last fault all hosts serve, and nothing runs for nobody. */
function checkEnd({ dead, running }: Evidence): Violation[] {
  const found = dead.map((host) => ({ rule: "serves again", detail: host }));
  if (running === 0) return found;
  const detail = `${running} requests still run`;
  return [...found, { rule: "nothing runs for nobody", detail }];
}

/**
 * A request that has crashed three replicas reaches three more at most, where
 * hosts send it that had time to be told.
 */
function checkCrashes({ seen, arrivals, unstruck }: Evidence): Violation[] {
  const hosts = new Map(
    seen.filter((one) => one.id.startsWith(CRASHING_NAME))
      .map((one) => [one.id, one.host]),
  );
  const runs = arrivals.filter((one) => one.ran && hosts.has(one.request))
    .sort((a, b) => a.atMs - b.atMs);
  const third = runs[KNOWN_CRASHES - 1];
  if (!third) return [];
  const late = runs.filter(({ request, atMs }) =>
    atMs > third.atMs + TOLD_MS && unstruck.has(hosts.get(request) ?? "")
  );
  if (late.length <= MOST_LATE) return [];
  const detail = `${late.length} replicas, ${runs.length} in all`;
  return [{ rule: "what crashes replicas is sent to none", detail }];
}

/**
 * From 3 s after a replica named its limit on, it gets no more within 4 s than
 * half as much again and five, of all hosts together that had passed on such an
 * answer and that nothing had struck.
 */
function checkLimits({ seen, arrivals, limits, unstruck }: Evidence) {
  const hosts = new Map(seen.map((one) => [one.id, one.host]));
  const hostOf = (one: ReplicaArrival) => hosts.get(one.request) ?? "";
  const judged = arrivals.filter((one) => unstruck.has(hostOf(one)));
  const found: Violation[] = [];
  for (const { replica, text, fromMs, toMs } of limits) {
    const perSecond = Number(text);
    if (Number.isNaN(perSecond)) continue;
    const during = judged.filter((one) =>
      one.replica === replica && one.atMs >= fromMs && one.atMs < toMs
    );
    const toldAt = new Map<string, number>();
    for (const one of during) {
      const host = hostOf(one);
      const atMs = Math.min(one.atMs, toldAt.get(host) ?? Infinity);
      toldAt.set(host, atMs);
    }
    const times = during
      .filter((one) =>
        one.atMs >= (toldAt.get(hostOf(one)) ?? Infinity) + PASSED_ON_MS
      )
      .map((one) => one.atMs);
    for (const atMs of times.filter((one) => one >= fromMs + TOLD_MS)) {
      const span = times.filter((one) =>
        one <= atMs && one >= atMs - LIMIT_SPAN_MS
      );
      if (span.length <= mostAllowed(perSecond)) continue;
      const detail = `${replica} at ${text}: ${span.length} requests`;
      found.push({ rule: "limits of replicas hold", detail });
      break;
    }
  }
  return found;
}

/**
 * A replica that said it leaves, or asked a host for a pause, is sent nothing by
 * the hosts that it told.
 */
function checkNotices(evidence: Evidence): Violation[] {
  const { arrivals, seen, steady, unstruck, unheard } = evidence;
  const sent = sentBy(arrivals, seen).filter((one) =>
    !unheard.has(one.replica)
  );
  const late = sentAfterLeaving(sent.filter((one) => steady.has(one.host)));
  const pauses = brokenPauses(sent.filter((one) => unstruck.has(one.host)));
  return [
    ...late.map((detail) => ({ rule: "leaving is heard in answers", detail })),
    ...pauses.map((detail) => ({ rule: "pauses are kept", detail })),
  ];
}

/**
 * A planned stop cuts no request that a replica was given; one whose route's time
 * is over ends by that.
 */
function checkStops({ isCalm, seen, arrivals }: Evidence): Violation[] {
  if (!isCalm) return [];
  const given = new Set(arrivals.map((one) => one.request));
  return seen.filter((one) =>
    given.has(one.id) && !one.isComplete && !one.hasLeft &&
    one.endedAtMs - one.sentAtMs < ROUTE_TIMEOUT_MS
  ).map((one) => ({
    rule: "a planned stop cuts nothing",
    detail: `${one.id} at ${one.host}, status ${one.status}`,
  }));
}
