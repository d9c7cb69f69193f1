/** Checks what callers of restarting hosts received; pure functions. */
import type { ReplicaArrival } from "../platform/replica_world.ts";
import type { CutResponse } from "../platform/response_standin.ts";
import { CallKind } from "./call.ts";
import { checkAtMostOnce, checkRefusals, type Violation } from "./checks.ts";
import type { SeriesCall } from "./restarts_in_series_callers.ts";
import { findDisorderedStreams } from "./stream_order.ts";
import { isOwnAndComplete } from "./whole_responses.ts";

/** A planned stop of a host's process. */
export type HostStop = { readonly host: string; readonly atMs: number };

/** Everything that was recorded of a series. */
export type SeriesRecord = {
  readonly calls: readonly SeriesCall[];
  readonly stops: readonly HostStop[];
  readonly arrivals: readonly ReplicaArrival[];
  readonly cuts: readonly CutResponse[];
  /** The timeout of all routes. */
  readonly routeTimeoutMs: number;
  /** How long the process of callers and replicas was held up at most. */
  readonly heldUpMs: number;
};

/** The grace period of the hosts of a fleet. */
const GRACE_MS = 8000;
/** From the end of the grace period until its effects are over. */
const STOP_SLACK_MS = 1000;
/** Requests that are sent later may not be cut whatever they take. */
const EARLY_MS = 3000;
/** From then on, a run at work excuses that its response is cut. */
const LAST_PART_MS = GRACE_MS * 5 / 6;
/**
 * A request that is lost sooner may have crossed the connection's end, which its
 * caller notices late if its own process is held up.
 */
const LOSS_SLACK_MS = 1000;
/** From a deadline's end at a host to its caller's clock. */
const TIMEOUT_SLACK_MS = 100;

const UNSAFE_KINDS: readonly CallKind[] = [CallKind.unsafe, CallKind.stream];

/** Returns all violations of a series. */
export function findSeriesViolations(record: SeriesRecord): Violation[] {
  const { calls } = record;
  const wrong = calls.filter((call) =>
    call.status === 200 && call.isComplete && !isOwnAndComplete(call)
  );
  return [
    ...findCutRequests(record),
    ...findLateFailures(record),
    ...checkAtMostOnce(record),
    ...checkRefusals(record),
    ...wrong.map((call) => ({
      rule: "responses are complete and match the request",
      detail: `${JSON.stringify(call.body)}, ${describeCall(call, record)}`,
    })),
    ...findDisorderedStreams(calls).map(({ fault, detail }) => ({
      rule: `streams are in order (${fault})`,
      detail,
    })),
  ];
}

/** Requests that a host has read whole and not answered completely. */
function findCutRequests(record: SeriesRecord): Violation[] {
  const ran = requestsThatRan(record.arrivals);
  return record.calls.filter((call) => {
    const { id, isComplete, isAborted, wholeAtMs, endedAtMs } = call;
    if (isComplete || isAborted || wholeAtMs === undefined) return false;
    const slackMs = LOSS_SLACK_MS + record.heldUpMs;
    const wasRead = ran.has(id) || endedAtMs - wholeAtMs > slackMs;
    return wasRead && !isExcused(call, record);
  }).map((call) => ({
    rule: "hosts answer what they have read",
    detail: describeCall(call, record),
  }));
}

/** Unsafe requests that were sent late in a stop and have no known outcome. */
function findLateFailures(record: SeriesRecord): Violation[] {
  const ran = requestsThatRan(record.arrivals);
  return record.calls.filter((call) => {
    const { id, kind, status, wholeAtMs = Infinity } = call;
    const isFailure = status === 502 && UNSAFE_KINDS.includes(kind);
    const isLate = stopsAround(call, record.stops).some(({ atMs }) =>
      wholeAtMs > atMs + EARLY_MS
    );
    return isFailure && isLate && ran.has(id) && !isExcused(call, record);
  }).map((call) => ({
    rule: "late unsafe requests are not cut",
    detail: describeCall(call, record),
  }));
}

/** Failures of unsafe requests that ran and for which no stop is a reason. */
export function findFailuresElsewhere(record: SeriesRecord): string[] {
  const ran = requestsThatRan(record.arrivals);
  return record.calls.filter((call) =>
    call.status === 502 && ran.has(call.id) &&
    !isExcused(call, record) && stopsAround(call, record.stops).length === 0
  ).map((call) => describeCall(call, record));
}

function requestsThatRan(
  arrivals: readonly ReplicaArrival[],
): ReadonlySet<string> {
  return new Set(
    arrivals.filter(({ ran }) => ran).map(({ request }) => request),
  );
}

/** Whether the replica, the time or the end of the grace period ended it. */
function isExcused(
  call: SeriesCall,
  { stops, arrivals, cuts, routeTimeoutMs }: SeriesRecord,
): boolean {
  const { id, sentAtMs, endedAtMs, timeoutMs, wholeAtMs = Infinity } = call;
  const lastedMs = endedAtMs - sentAtMs;
  if (lastedMs > Math.min(timeoutMs, routeTimeoutMs) - TIMEOUT_SLACK_MS) {
    return true;
  }
  if (cuts.some(({ request }) => request === id)) return true;
  const runs = arrivals.filter(({ request, ran }) => request === id && ran);
  return stopsAround(call, stops).some(({ atMs }) =>
    wholeAtMs <= atMs + EARLY_MS &&
    endedAtMs >= atMs + LAST_PART_MS &&
    runs.some((run) => (run.endedAtMs ?? Infinity) >= atMs + LAST_PART_MS)
  );
}

/** The stops of its host during which a request ended. */
function stopsAround(
  { host, endedAtMs }: SeriesCall,
  stops: readonly HostStop[],
): HostStop[] {
  return stops.filter((stop) =>
    stop.host === host && stop.atMs <= endedAtMs &&
    endedAtMs <= stop.atMs + GRACE_MS + STOP_SLACK_MS
  );
}

function describeCall(
  call: SeriesCall,
  { stops, arrivals }: SeriesRecord,
): string {
  const { id, kind, host, status, sentAtMs, endedAtMs, timeoutMs } = call;
  const since = (ms: number | undefined) =>
    ms === undefined ? "never" : Math.round(ms - sentAtMs);
  const runs = arrivals.filter(({ request }) => request === id)
    .map((run) =>
      `${run.replica} at ${since(run.atMs)}${run.ran ? "" : " (not run)"}, ` +
      `ended at ${since(run.endedAtMs)}`
    );
  const signals = stops.filter((stop) => stop.host === host)
    .map(({ atMs }) => since(atMs));
  return `${id} (${kind}) at ${host}, status ${status}, whole at ` +
    `${since(call.wholeAtMs)}, ended at ${since(endedAtMs)} of ${timeoutMs} ` +
    `ms; runs: ${runs.join("; ")}; SIGTERM at ${signals.join(", ")}`;
}
