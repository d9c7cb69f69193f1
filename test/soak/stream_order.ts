/** Whether callers got the events of their streams in order; pure functions. */
import { STREAM_EVENTS, streamTexts } from "../platform/stream_standin.ts";
import { type CallResult, isStream } from "./call.ts";
import { eventsOf, findMixedStreams, findResumption } from "./resumptions.ts";
import type { Resumption } from "./call.ts";

/** How the events of a stream may be out of order. */
export const OrderFault = {
  /** Events are missing, repeated or of another request. */
  sequence: "sequence",
  /** A stream ends as complete before its last event. */
  truncated: "truncated",
  /** A stream has events of several software versions. */
  mixed: "mixed",
} as const;
/** One of the values of {@link OrderFault}. */
export type OrderFault = typeof OrderFault[keyof typeof OrderFault];

/** A stream whose events are out of order. */
export type DisorderedStream = {
  readonly fault: OrderFault;
  readonly detail: string;
};

/**
 * Streams whose events are out of order, in one response or over the attempts of
 * a caller. A response may break off anywhere, even inside an event.
 */
export function findDisorderedStreams(
  calls: readonly CallResult[],
): DisorderedStream[] {
  return [
    ...calls.flatMap(faultOfResponse),
    ...findMixedStreams(calls).map((detail) => ({
      fault: OrderFault.mixed,
      detail,
    })),
  ];
}

function faultOfResponse(call: CallResult): DisorderedStream[] {
  if (!isStream(call.kind) || call.status !== 200) return [];
  const expected = expectedBody(call);
  const { id, host, framing, isComplete, body } = call;
  const detail = `${id} at ${host}, framing ${framing}: ${
    JSON.stringify(body)
  }`;
  // Until the first event is complete, nothing tells its version.
  if (expected === undefined && !isComplete) return [];
  if (expected === undefined) return [{ fault: OrderFault.truncated, detail }];
  if (!expected.startsWith(body)) {
    return [{ fault: OrderFault.sequence, detail }];
  }
  if (!isComplete || body === expected) return [];
  return [{ fault: OrderFault.truncated, detail }];
}

/** The events that are left of a stream; undefined if the response has none. */
function expectedBody(call: CallResult): string | undefined {
  const softwareVersion = eventsOf(call)[0]?.softwareVersion;
  if (softwareVersion === undefined) return undefined;
  const index = call.resumption ? call.resumption.lastEvent + 1 : 0;
  return streamTexts({ index, request: call.id, softwareVersion }).join("");
}

/**
 * How the caller goes on after an attempt that broke, also if it has closed the
 * connection itself.
 */
export function findNextAttempt(attempt: CallResult): Resumption | undefined {
  if (!attempt.isAborted) return findResumption(attempt);
  return findResumption({ ...attempt, isAborted: false, isComplete: false });
}

/** Whether the caller has the last event of its stream. */
export function hasLastEvent(attempt: CallResult): boolean {
  return eventsOf(attempt).at(-1)?.index === STREAM_EVENTS - 1;
}
