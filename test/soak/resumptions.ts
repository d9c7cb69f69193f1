/** Streams over all attempts of their callers; pure functions. */
import {
  parseEvents,
  STREAM_EVENTS,
  type StreamEvent,
} from "../platform/stream_standin.ts";
import {
  CallKind,
  type CallResult,
  isStream,
  type Resumption,
} from "./call.ts";

/** The complete events that arrived with a response. */
export function eventsOf({ status, kind, body }: CallResult): StreamEvent[] {
  return isStream(kind) && status === 200 ? parseEvents(body) : [];
}

/**
 * How the caller goes on after an attempt; undefined if it can't or needn't.
 */
export function findResumption(
  attempt: CallResult,
): Resumption | undefined {
  if (attempt.kind !== CallKind.resumable || attempt.isAborted) return;
  const lastEvent = eventsOf(attempt).at(-1)?.index;
  // A rejected attempt leaves the stream as it was.
  if (lastEvent === undefined) return attempt.resumption;
  if (attempt.isComplete || lastEvent === STREAM_EVENTS - 1) return;
  const firstAttempt = attempt.resumption?.firstAttempt ?? attempt.id;
  return { firstAttempt, lastEvent };
}

/** Whether an attempt brought an event. */
export function hasEvents(attempt: CallResult): boolean {
  return eventsOf(attempt).length > 0;
}

/**
 * Streams with events of several software versions, over all attempts of their
 * callers, as texts.
 */
export function findMixedStreams(calls: readonly CallResult[]): string[] {
  const versions = new Map<string, string[]>();
  for (const call of calls) {
    const stream = call.resumption?.firstAttempt ?? call.id;
    const seen = versions.get(stream) ?? [];
    versions.set(stream, seen);
    for (const { softwareVersion } of eventsOf(call)) {
      if (seen.at(-1) !== softwareVersion) seen.push(softwareVersion);
    }
  }
  return [...versions].filter(([, seen]) => seen.length > 1)
    .map(([stream, seen]) => `${stream}: ${seen.join(", ")}`);
}

/** Resumed streams of which at least so many are needed for a verdict. */
export const MIN_RESUMPTIONS = 12;

/**
 * Tells when resumptions bring events less than half as often as new streams
 * do. Both must have been sent at the same time to hosts without faults, and
 * replicas of each version must have served.
 */
export function findLostStreams(
  resumed: readonly CallResult[],
  begun: readonly CallResult[],
): string[] {
  if (resumed.length < MIN_RESUMPTIONS || begun.length === 0) return [];
  const shareOf = (calls: readonly CallResult[]) =>
    calls.filter(hasEvents).length / calls.length;
  const minShare = shareOf(begun) / 2;
  // Where hardly a new stream begins, none of a few resumptions may go on.
  if (minShare * resumed.length < 1) return [];
  if (shareOf(resumed) >= minShare) return [];
  const wentOn = resumed.filter(hasEvents).length;
  const began = begun.filter(hasEvents).length;
  return [
    `${wentOn} of ${resumed.length} resumptions, ${began} of ${begun.length} new streams`,
  ];
}
