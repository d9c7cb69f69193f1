/** Passes answers on: each to its own request, each token once. */
import { ErrorKind } from "../errors.ts";
import type { Chunk, PlainAnswer } from "../events.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Stage } from "../tables/plans.ts";
import { Phase, type Request } from "../tables/requests.ts";
import { count, order, type World } from "../world.ts";
import { tellStage } from "./dispatch.ts";
import { announceAnswer, answerConfirmed, mayDeliver } from "./registry.ts";
import { completeRequest, enter, failRequest, requestOf } from "./requests.ts";
import { resume } from "./retry.ts";

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
  if (chunk.last && mustClose(world, request, chunk, now)) return;
  pass(world, request, chunk, now);
}

/** Holds the last part back until the keepers of the request's key know. */
function mustClose(
  world: World,
  request: Request,
  last: Chunk | PlainAnswer,
  now: Milliseconds,
): boolean {
  if (request.phase === Phase.closing) return true;
  if (!announceAnswer(world, request, now)) return false;
  request.last = last;
  enter(world, request, Phase.closing, now);
  return true;
}

/** Passes the last parts on of which the keepers know. */
export function finishClosing(world: World, now: Milliseconds): void {
  for (const request of world.requests.values()) {
    const { phase, last } = request;
    if (phase !== Phase.closing || !last) continue;
    if (!mayDeliver(world, request, now)) {
      failRequest(world, request, ErrorKind.outcomeUnknown, now);
      continue;
    }
    if (!answerConfirmed(world, request)) continue;
    if (last.type === "chunk") pass(world, request, last, now);
    else passPlain(world, request, last, now);
  }
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
  if (mustClose(world, request, answer, now)) return;
  passPlain(world, request, answer, now);
}

function passPlain(
  world: World,
  request: Request,
  answer: PlainAnswer,
  now: Milliseconds,
): void {
  request.firstTokenAt = now;
  order(world, {
    type: "replyPlain",
    request: request.id,
    status: answer.status,
    body: answer.body,
  });
  completeRequest(world, request, now);
}
