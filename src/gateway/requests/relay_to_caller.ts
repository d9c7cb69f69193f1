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

/** Headers that tell the framing of a body. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set([
  "content-length",
  "transfer-encoding",
]);

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
  relay.journal.received(answer, scanner);
  return relayAnswer(answer, reply, {
    route,
    scanner,
    writeHead: (bodyBytes) =>
      writer.writeHead(headOf(answer, route, bodyBytes)),
    confirmEnd: () =>
      crashes.ends.confirm(relay.entry, {
        peer: answer.peer,
        receivedAt: startedAt,
        waits: route.kind !== RouteKind.safe && !route.resumable,
      }),
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
 * The head of a response for the caller. It is framed whatever the framing of the
 * replica's response: an orderly end of this host's connection, as when this
 * process is killed, must not look like the end of the body.
 */
function headOf(
  answer: Answer,
  route: Route,
  bodyBytes: number | undefined,
): ResponseHead {
  const { message, framing } = answer;
  const { statusCode: status = 502, rawHeaders } = message;
  // Another replica may continue it, perhaps with another length.
  const mayContinue = route.kind === RouteKind.streaming && route.resumable &&
    eventStreamOf(answer) !== EventStream.no;
  if (framing === Framing.length && !mayContinue) {
    return { status, rawHeaders, framing };
  }
  const headers = withoutHeaders(
    rawHeaders,
    (name) => FRAMING_HEADERS.has(name),
  );
  if (bodyBytes === undefined) {
    return { status, rawHeaders: headers, framing: Framing.chunked };
  }
  headers.push("Content-Length", String(bodyBytes));
  return { status, rawHeaders: headers, framing: Framing.length };
}
