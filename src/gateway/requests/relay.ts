/** Forwards a replica's response to the caller. */
import type { Clock } from "../clock.ts";
import type { Milliseconds } from "../../util/units.ts";
import {
  PacedWriter,
  type PacedWriterOptions,
} from "../memory/paced_writer.ts";
import type { Answer } from "../upstreams/call.ts";
import { type Route, RouteKind } from "../routing/model.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { Reply } from "./request.ts";
import type { RelayObserver } from "./run_progress.ts";

/** Responses up to this size are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 256 * 1024;

/** How the forwarding of a response ended. */
export type RelayOutcome =
  | "complete"
  | "interrupted"
  /** The caller did not read the response. */
  | "unread";

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
  /** How parts of the response are written to a caller who reads slowly. */
  readonly pace: RelayPace;
};

/** Bounds on what is held for a caller who reads slowly. */
export type RelayPace = Omit<
  PacedWriterOptions,
  "reply" | "source" | "onUnread"
>;

/**
 * Forwards a response: a stream as it arrives, others buffered up to a limit.
 */
export async function relayAnswer(
  answer: Answer,
  reply: Reply,
  { route, writeHead, onFirstByte, observer, events, pace }: AnswerRelayOptions,
): Promise<RelayOutcome> {
  const paced = pacedReply(answer, reply, pace);
  if (route.kind !== RouteKind.streaming) {
    const { relayed } = await relayBuffered(answer, paced, writeHead);
    onFirstByte();
    return relayed;
  }
  if (observer) observe(answer, observer);
  writeHead();
  onFirstByte();
  if (!route.resumable) return await relayBytes(answer, paced);
  return await relayEvents(answer, paced, events);
}

function observe({ message }: Answer, observer: RelayObserver): void {
  message.on("data", (bytes: Buffer) => observer.data(bytes));
  // Only the relay pauses a response, while its caller has unread data.
  message.on("pause", () => observer.heldUp());
}

/** Forwards the body as it arrives. */
function relayBytes(
  answer: Answer,
  paced: PacedReply,
): Promise<RelayOutcome> {
  return relay(answer, paced, {
    data: (bytes) => paced.write(bytes),
    complete: () => paced.reply.end(),
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
  paced: PacedReply,
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
  // A response that its caller holds up is not stalled.
  answer.message.on("pause", () => cancelStallTimer());
  answer.message.on("resume", restartStallTimer);
  return relay(answer, paced, {
    data: (bytes) => {
      restartStallTimer();
      const complete = splitter.push(bytes);
      if (complete.lastId !== undefined) position.lastId = complete.lastId;
      if (complete.bytes.length > 0) paced.write(complete.bytes);
    },
    complete: () => {
      if (splitter.remainder.length > 0) paced.reply.write(splitter.remainder);
      paced.reply.end();
    },
  }).finally(() => cancelStallTimer());
}

/**
 * Buffers a small response until it is complete, so that nothing has been sent
 * to the caller if the response is interrupted.
 */
function relayBuffered(
  answer: Answer,
  paced: PacedReply,
  writeHead: () => void,
): Promise<{ readonly relayed: RelayOutcome; readonly started: boolean }> {
  const buffered: Buffer[] = [];
  let size = 0;
  let started = false;
  const start = () => {
    started = true;
    writeHead();
    for (const bytes of buffered.splice(0)) paced.write(bytes);
  };
  return relay(answer, paced, {
    data: (bytes) => {
      if (started) return paced.write(bytes);
      buffered.push(bytes);
      size += bytes.length;
      if (size > MAX_BUFFERED_BYTES) start();
    },
    complete: () => {
      if (!started) start();
      paced.reply.end();
    },
  }).then((relayed) => ({ relayed, started }));
}

/** A reply that is written at the pace of its caller. */
type PacedReply = {
  readonly reply: Reply;
  write(bytes: Buffer): void;
  /** Whether the caller did not read the response. */
  isUnread(): boolean;
  end(): void;
};

function pacedReply(
  { message }: Answer,
  reply: Reply,
  pace: RelayPace,
): PacedReply {
  let isUnread = false;
  const writer = new PacedWriter({
    ...pace,
    reply,
    source: message,
    onUnread: () => {
      isUnread = true;
      // The replica may have sent everything although the caller reads nothing.
      if (message.complete) reply.abort();
      message.destroy();
    },
  });
  return {
    reply,
    write: (bytes) => writer.write(bytes),
    isUnread: () => isUnread,
    end: () => writer.end(),
  };
}

function relay(
  answer: Answer,
  paced: PacedReply,
  on: { data(bytes: Buffer): void; complete(): void },
): Promise<RelayOutcome> {
  return new Promise((resolve) => {
    const { message } = answer;
    message.on("data", (bytes: Buffer) => on.data(bytes));
    message.on("close", () => {
      if (paced.isUnread()) return resolve("unread");
      if (!answer.intact()) {
        paced.end();
        return resolve("interrupted");
      }
      on.complete();
      resolve(paced.isUnread() ? "unread" : "complete");
    });
  });
}
