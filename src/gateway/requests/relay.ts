/** Passes a replica's answer on to the caller. */
import type { Clock } from "../clock.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Answer } from "../upstreams/call.ts";
import { type Route, RouteKind } from "../routing/model.ts";
import { EventEdges } from "./event_edges.ts";
import type { Reply } from "./request.ts";

/** Answers up to this size are held until they are whole. */
const HELD_BYTES = 256 * 1024;

/** How far the passing on went. */
export type Relayed = "whole" | "cut";

/** How an answer is passed on. */
export type AnswerRelay = {
  readonly route: Route;
  /** Sends the answer's head; called before the first byte goes. */
  readonly head: () => void;
  /** The caller has the first byte. */
  readonly firstByte: () => void;
  /** How the events of a stream are passed on that may go on elsewhere. */
  readonly events: EventRelay;
};

/** Passes an answer on: held until it is whole, or as it comes. */
export async function relayAnswer(
  answer: Answer,
  reply: Reply,
  { route, head, firstByte, events }: AnswerRelay,
): Promise<Relayed> {
  if (route.kind !== RouteKind.streaming) {
    const { relayed } = await relayHeld(answer, reply, head);
    firstByte();
    return relayed;
  }
  head();
  firstByte();
  if (!route.resumable) return await relayBytes(answer, reply);
  return await relayEvents(answer, reply, events);
}

/** Passes the body on as it comes. */
function relayBytes(
  answer: Answer,
  reply: Reply,
): Promise<Relayed> {
  return relay(answer, {
    part: (bytes) => pass(answer, reply, bytes),
    whole: () => reply.end(),
  });
}

/** How far the events of a stream have gone. */
export type EventPosition = { lastId?: string };

/** What the events of a stream are passed on by. */
export type EventRelay = {
  readonly position: EventPosition;
  readonly clock: Clock;
  readonly stallMs: Milliseconds;
  /** Whether a silent stream is cut, to go on elsewhere. */
  moveOn(): boolean;
};

/**
 * Passes whole events on, so that another replica's events can follow. Each
 * time that no byte came for `stallMs`, `moveOn` says whether the stream is
 * cut to go on elsewhere; a silent replica alone is no reason.
 */
function relayEvents(
  answer: Answer,
  reply: Reply,
  { position, clock, stallMs, moveOn }: EventRelay,
): Promise<Relayed> {
  const edges = new EventEdges();
  let cancelStall = () => {};
  const watch = () => {
    cancelStall();
    cancelStall = clock.after(stallMs, () => {
      if (!moveOn()) return watch();
      answer.message.destroy();
    });
  };
  watch();
  return relay(answer, {
    part: (bytes) => {
      watch();
      const whole = edges.push(bytes);
      if (whole.lastId !== undefined) position.lastId = whole.lastId;
      if (whole.bytes.length > 0) pass(answer, reply, whole.bytes);
    },
    whole: () => {
      if (edges.rest.length > 0) reply.write(edges.rest);
      reply.end();
    },
  }).finally(() => cancelStall());
}

/**
 * Holds a small answer until it is whole: when it is cut off, nothing of it
 * has gone to the caller yet. `head` is called before the first byte goes.
 */
function relayHeld(
  answer: Answer,
  reply: Reply,
  head: () => void,
): Promise<{ readonly relayed: Relayed; readonly started: boolean }> {
  const held: Buffer[] = [];
  let size = 0;
  let started = false;
  const start = () => {
    started = true;
    head();
    for (const bytes of held.splice(0)) pass(answer, reply, bytes);
  };
  return relay(answer, {
    part: (bytes) => {
      if (started) return pass(answer, reply, bytes);
      held.push(bytes);
      size += bytes.length;
      if (size > HELD_BYTES) start();
    },
    whole: () => {
      if (!started) start();
      reply.end();
    },
  }).then((relayed) => ({ relayed, started }));
}

function relay(
  answer: Answer,
  on: { part(bytes: Buffer): void; whole(): void },
): Promise<Relayed> {
  return new Promise((resolve) => {
    const { message } = answer;
    message.on("data", (bytes: Buffer) => on.part(bytes));
    message.on("close", () => {
      if (!answer.intact()) return resolve("cut");
      on.whole();
      resolve("whole");
    });
  });
}

function pass(answer: Answer, reply: Reply, bytes: Buffer): void {
  if (reply.write(bytes)) return;
  answer.message.pause();
  void reply.drained().then(() => answer.message.resume());
}
