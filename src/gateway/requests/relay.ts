/** Forwards a replica's response to the caller. */
import type { Clock } from "../clock.ts";
import type { Milliseconds } from "../../util/units.ts";
import {
  PacedWriter,
  type PacedWriterOptions,
} from "../memory/paced_writer.ts";
import type { Answer } from "../upstreams/call.ts";
import type { Route } from "../routing/model.ts";
import type { EventScanner } from "./event_scanner.ts";
import { EventSplitter } from "./event_splitter.ts";
import type { Reply } from "./request.ts";
import type { RelayObserver } from "./run_progress.ts";
import { StallTimer } from "./stall_timer.ts";

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
  /** Scans the events of a stream; undefined: the route is not streaming. */
  readonly scanner: EventScanner | undefined;
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
  options: AnswerRelayOptions,
): Promise<RelayOutcome> {
  // It was cut off, and what was received of it is gone.
  if (answer.message.closed) return "interrupted";
  const { route, scanner, writeHead, onFirstByte, observer, pace } = options;
  const paced = pacedReply(answer, reply, pace);
  if (!scanner) {
    const outcome = await relayBuffered(answer, paced, writeHead);
    onFirstByte();
    return outcome;
  }
  if (observer) observe(answer, scanner, observer);
  const output = { paced, scanner };
  const begin = () => {
    writeHead();
    onFirstByte();
  };
  if (route.resumable) {
    return await relayEvents(answer, output, { ...options.events, begin });
  }
  begin();
  return await relayBytes(answer, paced);
}

/** A stream and the response to its caller. */
type StreamOutput = {
  readonly paced: PacedReply;
  readonly scanner: EventScanner;
};

function observe(
  { message }: Answer,
  scanner: EventScanner,
  observer: RelayObserver,
): void {
  message.on("data", () => observer.received(scanner.events));
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

/** What was forwarded of a stream. */
export type EventPosition = {
  /** Id of the last event. */
  lastId?: string;
  /** Whether the caller has received any of it. */
  hasForwarded?: boolean;
};

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
async function relayEvents(
  answer: Answer,
  output: StreamOutput,
  { position, clock, stallMs, abandonStalled, begin }:
    & EventRelayOptions
    & { readonly begin: () => void },
): Promise<RelayOutcome> {
  const { paced, scanner } = output;
  const splitter = new EventSplitter();
  const { message } = answer;
  const stallTimer = new StallTimer({
    clock,
    stallMs,
    onStalled: () => {
      if (!abandonStalled()) return;
      stallTimer.end();
      message.destroy();
    },
  });
  stallTimer.restart();
  // A response that its caller holds up is not stalled.
  message.on("pause", () => stallTimer.pause());
  message.on("resume", () => stallTimer.restart());
  message.on("close", () => stallTimer.end());
  begin();
  return await relay(answer, paced, {
    data: (bytes) => {
      stallTimer.restart();
      const complete = splitter.push(bytes, scanner.endInPart);
      if (!complete) return;
      if (complete.lastId !== undefined) position.lastId = complete.lastId;
      position.hasForwarded = true;
      paced.write(complete.bytes);
    },
    complete: () => {
      if (splitter.remainder.length > 0) paced.reply.write(splitter.remainder);
      paced.reply.end();
    },
  });
}

/**
 * Buffers a small response until it is complete, so that nothing has been sent
 * to the caller if the response is interrupted.
 */
function relayBuffered(
  answer: Answer,
  paced: PacedReply,
  writeHead: () => void,
): Promise<RelayOutcome> {
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
  });
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

/** What one kind of relay does with a response. */
type Forwarding = {
  data(bytes: Buffer): void;
  complete(): void;
};

function relay(
  answer: Answer,
  paced: PacedReply,
  forwarding: Forwarding,
): Promise<RelayOutcome> {
  return new Promise((resolve) => {
    const { message } = answer;
    message.on("data", (bytes: Buffer) => forwarding.data(bytes));
    message.on("close", () => {
      if (paced.isUnread()) return resolve("unread");
      if (!answer.intact()) {
        paced.end();
        return resolve("interrupted");
      }
      forwarding.complete();
      resolve(paced.isUnread() ? "unread" : "complete");
    });
  });
}
