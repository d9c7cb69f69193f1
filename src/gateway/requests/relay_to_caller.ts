/** Forwards a replica's response by the parameters of its request. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { Timing } from "../observe/metrics.ts";
import { RouteKind } from "../routing/model.ts";
import type { Answer } from "../upstreams/call.ts";
import { type EventPosition, relayAnswer, type RelayOutcome } from "./relay.ts";
import type { RelayObserver } from "./run_progress.ts";
import type { ReplyWriter } from "./reply_writer.ts";
import { scanEvents } from "./scan_events.ts";
import type { GatewayRequest, Reply } from "./request.ts";

/** A response and the caller that it is forwarded to. */
export type CallerRelay = {
  readonly answer: Answer;
  /** When the headers of the response were received. */
  readonly startedAt: Milliseconds;
  readonly reply: Reply;
  readonly writer: ReplyWriter;
  readonly position: EventPosition;
  /** Observes the body of a stream; undefined: nothing does. */
  readonly observer: RelayObserver | undefined;
  /** Whether to abort a stalled stream, to resume it at another replica. */
  abandonStalled(): boolean;
};

/** Forwards a response to the caller of a request. */
export function relayToCaller(
  { clock, metrics, tuning, heldBytes }: GatewayContext,
  { route, receivedAt, priority }: GatewayRequest,
  relay: CallerRelay,
): Promise<RelayOutcome> {
  const { answer, startedAt, reply, writer, position, observer } = relay;
  const isStream = route.kind === RouteKind.streaming;
  const scanner = isStream ? scanEvents(answer) : undefined;
  const { statusCode: status = 502, rawHeaders } = answer.message;
  return relayAnswer(answer, reply, {
    route,
    scanner,
    writeHead: () => writer.writeHead(status, rawHeaders),
    onFirstByte: () => {
      const at = isStream ? startedAt : clock.now();
      metrics.time(Timing.firstByte, at - receivedAt);
    },
    observer,
    events: {
      position,
      clock,
      stallMs: tuning.stallTimeoutMs,
      abandonStalled: () => relay.abandonStalled(),
    },
    pace: {
      clock,
      budget: heldBytes,
      isMostUrgent: priority === 0,
      unreadTimeoutMs: tuning.unreadTimeoutMs,
    },
  });
}
