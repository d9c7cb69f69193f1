/** Passes answers on: each to its own request, each token once. */
import { ErrorKind } from "../errors.ts";
import type { Event } from "../events.ts";
import type { Milliseconds } from "../ids.ts";
import { Stage } from "../tables/plans.ts";
import type { Request } from "../tables/requests.ts";
import { count, order, type World } from "../world.ts";
import { tellStage } from "./dispatch.ts";
import { mayDeliver } from "./registry.ts";
import { completeRequest, failRequest, requestOf } from "./requests.ts";
import { resume } from "./retry.ts";

/** A piece of an answer. */
export type Chunk = Extract<Event, { type: "chunk" }>;
/** A plain service's answer. */
export type PlainAnswer = Extract<Event, { type: "plainDone" }>;

/** Takes a piece of an answer; those of abandoned attempts are dropped. */
export function takeChunk(
  world: World,
  chunk: Chunk,
  now: Milliseconds,
): void {
  const request = requestOf(world, chunk.attempt);
  const attempt = world.attempts.get(chunk.attempt);
  if (!request || !attempt) return count(world, "late_answers");
  attempt.progressAt = now;
  if (chunk.index < request.tokens) return count(world, "repeated_chunks");
  if (chunk.index > request.tokens) {
    return resume(world, request, attempt, now);
  }
  if (!mayDeliver(world, request, now)) {
    return failRequest(world, request, ErrorKind.outcomeUnknown, now);
  }
  if (request.tokens === 0) noteFirstToken(world, request, now);
  pass(world, request, chunk, now);
}

/** The transfer has ended, so the prefill upstream keeps nothing any more. */
function noteFirstToken(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  request.firstTokenAt ??= now;
  delete request.export;
  tellStage(world, request, Stage.decode);
}

function pass(
  world: World,
  request: Request,
  chunk: Chunk,
  now: Milliseconds,
): void {
  request.tokens += chunk.tokens;
  request.lastTokenAt = now;
  const { text, tokens } = chunk;
  if (request.call.stream) {
    order(world, { type: "replyChunk", request: request.id, text, tokens });
  } else {
    request.chunks.push(text);
  }
  if (!chunk.last) return;
  if (!request.call.stream) replyWhole(world, request);
  const finish = chunk.finish ?? "stop";
  const total = request.tokens;
  order(world, {
    type: "replyEnd",
    request: request.id,
    finish,
    tokens: total,
  });
  completeRequest(world, request, now);
}

function replyWhole(world: World, request: Request): void {
  const text = request.chunks.join("");
  const { id, tokens } = request;
  order(world, { type: "replyChunk", request: id, text, tokens });
}

/** Passes a plain service's answer on. */
export function takePlainAnswer(
  world: World,
  answer: PlainAnswer,
  now: Milliseconds,
): void {
  const request = requestOf(world, answer.attempt);
  if (!request) return count(world, "late_answers");
  if (!mayDeliver(world, request, now)) {
    return failRequest(world, request, ErrorKind.outcomeUnknown, now);
  }
  request.firstTokenAt = now;
  order(world, {
    type: "replyPlain",
    request: request.id,
    status: answer.status,
    body: answer.body,
  });
  completeRequest(world, request, now);
}
