/** Forwards a replica's response to the caller. */
import type { Clock } from "../clock.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Answer } from "../upstreams/call.ts";
import { type Route, RouteKind } from "../routing/model.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { Reply } from "./request.ts";
import type { RelayObserver } from "./run_progress.ts";

/** Responses up to this size are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** Whether the response was forwarded to its end. */
export type RelayOutcome = "complete" | "interrupted";

/** Options of {@link relayAnswer}. */
export type AnswerRelayOptions = {
  readonly route: Route;
  /** Sends the response headers; called before the first byte of the body. */
  readonly writeHead: () => void;
  /** Called when the first byte has been sent to the caller. */
  readonly onFirstByte: () => void;
  /** Observes the body of a stream; undefined: nothing does. */
  readonly observer: RelayObserver | undefined;
  /** Used for streams that another replica can resume. */
  readonly events: EventRelayOptions;
};

/**
 * Forwards a response: a stream as it arrives, others buffered up to a limit.
 */
export async function relayAnswer(
  answer: Answer,
  reply: Reply,
  { route, writeHead, onFirstByte, observer, events }: AnswerRelayOptions,
): Promise<RelayOutcome> {
  if (route.kind !== RouteKind.streaming) {
    const { relayed } = await relayBuffered(answer, reply, writeHead);
    onFirstByte();
    return relayed;
  }
  if (observer) observe(answer, observer);
  writeHead();
  onFirstByte();
  if (!route.resumable) return await relayBytes(answer, reply);
  return await relayEvents(answer, reply, events);
}

function observe({ message }: Answer, observer: RelayObserver): void {
  message.on("data", (bytes: Buffer) => observer.data(bytes));
  // Only the relay pauses a response, while its caller has unread data.
  message.on("pause", () => observer.heldUp());
}

/** Forwards the body as it arrives. */
function relayBytes(
  answer: Answer,
  reply: Reply,
): Promise<RelayOutcome> {
  return relay(answer, {
    data: (bytes) => forward(answer, reply, bytes),
    complete: () => reply.end(),
  });
}

/** The last event of a stream that was forwarded. */
export type EventPosition = { lastId?: string };

/** Options for forwarding a resumable stream. */
export type EventRelayOptions = {
  readonly position: EventPosition;
  readonly clock: Clock;
  readonly stallMs: Milliseconds;
  /** Whether to abort a stalled stream, to resume it at another replica. */
  abandonStalled(): boolean;
};

/**
 * Forwards only complete events, so that another replica can resume the stream.
 * Whenever no byte arrives for `stallMs`, `abandonStalled` decides whether to
 * abort the stream.
 */
function relayEvents(
  answer: Answer,
  reply: Reply,
  { position, clock, stallMs, abandonStalled }: EventRelayOptions,
): Promise<RelayOutcome> {
  const splitter = new EventSplitter();
  let cancelStallTimer = () => {};
  const restartStallTimer = () => {
    cancelStallTimer();
    cancelStallTimer = clock.after(stallMs, () => {
      if (!abandonStalled()) return restartStallTimer();
      answer.message.destroy();
    });
  };
  restartStallTimer();
  return relay(answer, {
    data: (bytes) => {
      restartStallTimer();
      const complete = splitter.push(bytes);
      if (complete.lastId !== undefined) position.lastId = complete.lastId;
      if (complete.bytes.length > 0) forward(answer, reply, complete.bytes);
    },
    complete: () => {
      if (splitter.remainder.length > 0) reply.write(splitter.remainder);
      reply.end();
    },
  }).finally(() => cancelStallTimer());
}

/**
 * Buffers a small response until it is complete, so that nothing has been sent
 * to the caller if the response is interrupted.
 */
function relayBuffered(
  answer: Answer,
  reply: Reply,
  writeHead: () => void,
): Promise<{ readonly relayed: RelayOutcome; readonly started: boolean }> {
  const buffered: Buffer[] = [];
  let size = 0;
  let started = false;
  const start = () => {
    started = true;
    writeHead();
    for (const bytes of buffered.splice(0)) forward(answer, reply, bytes);
  };
  return relay(answer, {
    data: (bytes) => {
      if (started) return forward(answer, reply, bytes);
      buffered.push(bytes);
      size += bytes.length;
      if (size > MAX_BUFFERED_BYTES) start();
    },
    complete: () => {
      if (!started) start();
      reply.end();
    },
  }).then((relayed) => ({ relayed, started }));
}

function relay(
  answer: Answer,
  on: { data(bytes: Buffer): void; complete(): void },
): Promise<RelayOutcome> {
  return new Promise((resolve) => {
    const { message } = answer;
    message.on("data", (bytes: Buffer) => on.data(bytes));
    message.on("close", () => {
      if (!answer.intact()) return resolve("interrupted");
      on.complete();
      resolve("complete");
    });
  });
}

function forward(answer: Answer, reply: Reply, bytes: Buffer): void {
  if (reply.write(bytes)) return;
  answer.message.pause();
  void reply.drained().then(() => answer.message.resume());
}
