/** Whether callers got the whole response to their request; pure functions. */
import {
  ConnectionEnd,
  type CutResponse,
  Framing,
} from "../platform/response_standin.ts";
import { isAtEventEnd, streamTexts } from "../platform/stream_standin.ts";
import { type CallResult, isStream } from "./call.ts";
import { eventsOf } from "./resumptions.ts";

/**
 * Whether a response is the whole one to this request, from one replica or, for
 * a stream, from replicas of one software version.
 */
export function isOwnAndComplete(call: CallResult): boolean {
  if (!call.seal.endsWith(`.${call.id}`)) return false;
  return call.body === wholeBody(call);
}

/**
 * Whether a replica that still runs cut its unframed response where no receiver
 * can tell: a stream behind an event, or a plain body. Also such a response must
 * reach its caller framed: without framing, the end of its host would cut it
 * unnoticed, too.
 */
export function isUnnoticedCut(
  call: CallResult,
  cuts: readonly CutResponse[],
): boolean {
  if (call.framing === Framing.none) return false;
  if (!call.seal.endsWith(`.${call.id}`)) return false;
  if (!(wholeBody(call) ?? "").startsWith(call.body)) return false;
  return cuts.some(({ request, framing, end, sent }) =>
    request === call.id && framing === Framing.none &&
    end === ConnectionEnd.fin && (!isStream(call.kind) || isAtEventEnd(sent))
  );
}

/** The body of the whole response; undefined if no event tells the version. */
function wholeBody(call: CallResult): string | undefined {
  return isStream(call.kind) ? wholeStream(call) : `body of ${call.id}`;
}

/** The events that a response needs to hold, as its first one's version. */
function wholeStream(call: CallResult): string | undefined {
  const softwareVersion = eventsOf(call)[0]?.softwareVersion;
  if (softwareVersion === undefined) return undefined;
  const index = call.resumption ? call.resumption.lastEvent + 1 : 0;
  return streamTexts({ index, request: call.id, softwareVersion }).join("");
}
