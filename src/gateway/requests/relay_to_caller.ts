/** Forwards a replica's response by the parameters of its request. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import { withoutHeaders } from "../http/headers.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { type Route, RouteKind } from "../routing/model.ts";
import type { Answer } from "../upstreams/call.ts";
import { Framing } from "../upstreams/framing.ts";
import { EventStream, eventStreamOf } from "./event_stream.ts";
import { type EventPosition, relayAnswer } from "./relay.ts";
import type { RelayOutcome } from "./relay_outcome.ts";
import type { RelayObserver } from "./run_progress.ts";
import type { ReplyWriter } from "./reply_writer.ts";
import type { RequestJournal } from "./request_journal.ts";
import { scanEvents } from "./scan_events.ts";
import type { GatewayRequest, Reply, ResponseHead } from "./request.ts";

/** A response and the caller that it is forwarded to. */
export type CallerRelay = {
  readonly answer: Answer;
  /** When the headers of the response were received. */
  readonly startedAt: Milliseconds;
  readonly reply: Reply;
  readonly writer: ReplyWriter;
  readonly journal: RequestJournal;
  readonly position: EventPosition;
  /** Observes the body of a stream; undefined: nothing does. */
  readonly observer: RelayObserver | undefined;
  /** The replica that sends the response. */
  readonly entry: ReplicaEntry;
  /** As in {@link EventRelayOptions}. */
  readonly mayForward: Promise<boolean>;
  /** Whether to abort a stalled stream, to resume it at another replica. */
  abandonStalled(): boolean;
  /** As in {@link EventRelayOptions}. */
  onFirstEvent(): void;
};

/** Forwards a response to the caller of a request. */
export function relayToCaller(
  { clock, metrics, tuning, heldBytes, crashes }: GatewayContext,
  { route, receivedAt, priority }: GatewayRequest,
  relay: CallerRelay,
): Promise<RelayOutcome> {
  const { answer, startedAt, reply, writer, position, observer } = relay;
  const isStream = route.kind === RouteKind.streaming;
  const scanner = isStream ? scanEvents(answer) : undefined;
  const { address: replicaAddress } = relay.entry;
  relay.journal.received(answer, { scanner, replicaAddress });
  const head = headOf(answer, route);
  return relayAnswer(answer, reply, {
    route,
    scanner,
    writeHead: () => writer.writeHead(head),
    confirmEnd: () => crashes.ends.confirm(relay.entry, answer.remoteAddress),
    onFirstByte: () => {
      const at = isStream ? startedAt : clock.now();
      metrics.time(Timing.firstByte, at - receivedAt);
    },
    observer,
    events: {
      position,
      clock,
      stallMs: tuning.stallTimeoutMs,
      mayForward: relay.mayForward,
      abandonStalled: () => relay.abandonStalled(),
      onFirstEvent: () => relay.onFirstEvent(),
    },
    pace: {
      clock,
      budget: heldBytes,
      isMostUrgent: priority === 0,
      unreadTimeoutMs: tuning.unreadTimeoutMs,
    },
  });
}

/**
 * The head of a response for the caller. A stream of events is forwarded in
 * chunks if it has no framing, since an orderly end of this host's connection
 * would look like its end, or if another replica may continue it, perhaps with
 * another length.
 */
function headOf(answer: Answer, { kind, resumable }: Route): ResponseHead {
  const { message, framing } = answer;
  const { statusCode: status = 502, rawHeaders } = message;
  const isStream = kind === RouteKind.streaming &&
    eventStreamOf(answer) !== EventStream.no;
  const isChunked = isStream && (framing === Framing.connection || resumable);
  if (!isChunked) return { status, rawHeaders, framing };
  const isLength = (name: string) => name === "content-length";
  const headers = withoutHeaders(rawHeaders, isLength);
  return { status, rawHeaders: headers, framing: Framing.chunked };
}
