/** Forwards a replica's response to the caller. */
import type { Clock } from "../clock.ts";
import type { Milliseconds } from "../../util/units.ts";
import { ByteCollector } from "../memory/byte_collector.ts";
import { HeldBytes } from "../memory/held_bytes.ts";
import {
  PacedWriter,
  type PacedWriterOptions,
} from "../memory/paced_writer.ts";
import type { Answer } from "../upstreams/call.ts";
import type { Route } from "../routing/model.ts";
import { eventStreamOf } from "./event_stream.ts";
import type { EventScanner } from "./event_scanner.ts";
import { EventSplitter } from "./event_splitter.ts";
import { HeldEvents } from "./held_events.ts";
import {
  type OutcomeForCaller,
  outcomeForCaller,
  receivedOutcome,
  type RelayOutcome,
} from "./relay_outcome.ts";
import type { Reply } from "./request.ts";
import type { RelayObserver } from "./run_progress.ts";
import { StallTimer } from "./stall_timer.ts";

/** Responses up to this size are buffered until they are complete. */
const MAX_BUFFERED_BYTES = 256 * 1024;
/**
 * A stream whose event is larger is broken off: a replica in trouble may send
 * bytes without end, and an event is held until it is complete.
 */
const MAX_EVENT_BYTES = 1024 * 1024;
/** A stream with a larger event is broken off if this host has no memory left. */
const MIN_EVENT_BYTES = 16 * 1024;
/** Memory of a connection that a long event arrives on, besides the event. */
const READ_BUFFER_BYTES = 64 * 1024;

/** Options of {@link relayAnswer}. */
export type AnswerRelayOptions = {
  readonly route: Route;
  /** Scans the events of a stream; undefined: the route is not streaming. */
  readonly scanner: EventScanner | undefined;
  /**
   * Sends the response headers; called before the first byte of the body.
   * `bodyBytes` is the length of the body if it is known.
   */
  readonly writeHead: (bodyBytes?: number) => void;
  /**
   * Whether the replica, and the peer on the way if there is one, still run.
   * Called for a response whose framing does not confirm its end.
   */
  readonly confirmEnd: () => Promise<boolean>;
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
  // The connection closed before this, so the rest can't be read any more.
  if (answer.message.closed) return "interrupted";
  const { route, scanner, writeHead, onFirstByte, observer, pace } = options;
  const { confirmEnd } = options;
  const paced = pacedReply(answer, reply, pace);
  const heldBytes = new HeldBytes(pace);
  answer.message.on("close", () => heldBytes.set(0));
  if (!scanner) {
    const output = { paced, writeHead, confirmEnd, held: heldBytes };
    const outcome = await relayBuffered(answer, output);
    onFirstByte();
    return outcome;
  }
  if (observer) observe(answer, scanner, observer);
  const output = { paced, scanner, confirmEnd, unfinished: heldBytes };
  const begin = () => {
    writeHead();
    onFirstByte();
  };
  if (route.resumable) {
    return await relayEvents(answer, output, { ...options.events, begin });
  }
  begin();
  return await relayBytes(answer, output);
}

/** A stream and the response to its caller. */
type StreamOutput = {
  readonly paced: PacedReply;
  readonly scanner: EventScanner;
  readonly confirmEnd: () => Promise<boolean>;
  /** The event that has no end yet. */
  readonly unfinished: HeldBytes;
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
  output: StreamOutput,
): Promise<RelayOutcome> {
  const { paced, scanner, confirmEnd } = output;
  const events = eventStreamOf(answer);
  return relay(answer, paced, {
    data: (bytes) => paced.write(bytes),
    outcome: () => {
      const stream = { events, scanner, hasEvents: scanner.events > 0 };
      return receivedOutcome(answer, { stream, confirmEnd });
    },
    complete: () => paced.reply.end(),
  });
}

/** What was forwarded of a stream. */
export type EventPosition = {
  /** Id of the last event. */
  lastId?: string;
  /** Whether the caller has received any of it. */
  hasForwarded?: boolean;
  /**
   * Whether events without an id stand behind the last id. A replica that resumes
   * the stream there would send them again.
   */
  endsWithoutId?: boolean;
};

/** Options for forwarding a resumable stream. */
export type EventRelayOptions = {
  readonly position: EventPosition;
  readonly clock: Clock;
  readonly stallMs: Milliseconds;
  /** False: the caller must not receive the stream. */
  readonly mayForward: Promise<boolean>;
  /** Whether to abort a stalled stream, to resume it at another replica. */
  abandonStalled(): boolean;
  /** Called before the first event of a stream is sent to the caller. */
  onFirstEvent(): void;
};

/**
 * Forwards only complete events, so that another replica can resume the stream.
 * Whenever no byte arrives for `stallMs`, `abandonStalled` decides whether to
 * abort the stream.
 */
async function relayEvents(
  answer: Answer,
  output: StreamOutput,
  { position, clock, stallMs, abandonStalled, mayForward, begin, onFirstEvent }:
    & EventRelayOptions
    & { readonly begin: () => void },
): Promise<RelayOutcome> {
  const { paced, scanner, confirmEnd, unfinished } = output;
  const splitter = new EventSplitter();
  const events = eventStreamOf(answer);
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
  const held = new HeldEvents({
    mayForward,
    source: message,
    onOpen: begin,
    forward: ({ bytes, lastId, endsWithoutId }) => {
      if (lastId !== undefined) position.lastId = lastId;
      if (lastId !== undefined || endsWithoutId) {
        position.endsWithoutId = endsWithoutId;
      }
      if (!position.hasForwarded) onFirstEvent();
      position.hasForwarded = true;
      paced.write(bytes);
    },
  });
  let hasEvents = position.hasForwarded ?? false;
  const forwarded = relay(answer, paced, {
    data: (bytes) => {
      stallTimer.restart();
      const complete = splitter.push(bytes, scanner.endInPart);
      if (!mayHoldEvent(splitter, unfinished)) message.destroy();
      if (!complete) return;
      hasEvents = true;
      held.push(complete);
    },
    outcome: async () => {
      const ended = { stream: { events, scanner, hasEvents }, confirmEnd };
      return outcomeForCaller(await receivedOutcome(answer, ended), held);
    },
    complete: () => {
      if (splitter.remainder.length > 0) paced.reply.write(splitter.remainder);
      paced.reply.end();
    },
  });
  // Rejects at once if the head can't be written.
  await Promise.race([held.opened, forwarded]);
  return await forwarded;
}

/** Whether the host may go on to hold the event that has no end yet. */
function mayHoldEvent(
  { remainingBytes }: EventSplitter,
  unfinished: HeldBytes,
): boolean {
  if (remainingBytes <= MIN_EVENT_BYTES) return unfinished.set(0);
  if (remainingBytes > MAX_EVENT_BYTES) return false;
  return unfinished.set(remainingBytes + READ_BUFFER_BYTES);
}

/** A response that is buffered, and the response to its caller. */
type BufferedOutput =
  & Pick<AnswerRelayOptions, "writeHead" | "confirmEnd">
  & { readonly paced: PacedReply; readonly held: HeldBytes };

/**
 * Buffers a small response until it is complete, so that nothing has been sent
 * to the caller if the response is interrupted.
 */
function relayBuffered(
  answer: Answer,
  { paced, writeHead, confirmEnd, held }: BufferedOutput,
): Promise<RelayOutcome> {
  const buffered = new ByteCollector();
  let started = false;
  const start = (bodyBytes?: number) => {
    started = true;
    held.set(0);
    writeHead(bodyBytes);
    for (const bytes of buffered.take()) paced.write(bytes);
  };
  return relay(answer, paced, {
    data: (bytes) => {
      if (started) return paced.write(bytes);
      buffered.push(bytes);
      const isHeld = held.set(buffered.length);
      if (!isHeld || buffered.length > MAX_BUFFERED_BYTES) start();
    },
    outcome: () => receivedOutcome(answer, { confirmEnd }),
    complete: () => {
      if (!started) start(buffered.length);
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
  /** The outcome of a response that has ended. */
  outcome(): Promise<OutcomeForCaller>;
  complete(): void;
};

function relay(
  { message }: Answer,
  paced: PacedReply,
  forwarding: Forwarding,
): Promise<RelayOutcome> {
  return new Promise((resolve, reject) => {
    message.on("data", (bytes: Buffer) => forwarding.data(bytes));
    const end = async () => {
      if (paced.isUnread()) return resolve("unread");
      const outcome = await forwarding.outcome();
      const isCut = outcome === "interrupted" || outcome === "withheld";
      // The request's time may have ended meanwhile.
      if (isCut || paced.reply.hasEnded()) {
        paced.end();
        return resolve(outcome);
      }
      forwarding.complete();
      resolve(paced.isUnread() ? "unread" : outcome);
    };
    message.on("close", () => void end().catch(reject));
  });
}
