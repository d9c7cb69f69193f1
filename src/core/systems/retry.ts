/**
 * What follows a failed attempt: another upstream for what can be sent again,
 * first from the kept export, and the plain truth for what can't.
 */
import { ErrorKind, Ran } from "../errors.ts";
import { type Event, Failure } from "../events.ts";
import type { UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { type Attempt, Phase, type Request } from "../tables/requests.ts";
import { count, log, order, type World } from "../world.ts";
import {
  abandonAttempt,
  abandonExport,
  enter,
  failRequest,
  requestOf,
  returnGrant,
} from "./requests.ts";

/** The retry budget never holds more than this many retries. */
const BUDGET_LIMIT = 20;
/** Part of a kept export's life that must be left for it to be used. */
const EXPORT_MARGIN_MS = 200;

/** Word that an attempt failed. */
export type AttemptFailure = Extract<Event, { type: "attemptFailed" }>;

/** Takes an upstream's or the connection's word that an attempt failed. */
export function takeFailure(
  world: World,
  failed: AttemptFailure,
  now: Milliseconds,
): void {
  const { upstream, failure } = failed;
  const request = requestOf(world, failed.attempt);
  const attempt = world.attempts.get(failed.attempt);
  if (!request || !attempt || attempt.upstream !== upstream) return;
  log(world, {
    part: "retry",
    sentence: "An attempt failed",
    request: request.id,
    fields: { upstream, failure, tokens: request.tokens },
  });
  if (failure === Failure.rejected) {
    request.ran = attempt.ranBefore;
    return failRequest(world, request, ErrorKind.badRequest, now);
  }
  if (failure === Failure.notStarted) {
    return takeNotStarted(world, request, attempt, now);
  }
  if (failure === Failure.broken) {
    const left = attempt.resumes < world.options.resumeLimit;
    if (request.tokens > 0 && left) {
      return resume(world, request, attempt, now);
    }
    returnGrant(world, request, upstream);
  }
  if (failure === Failure.gone) abandonExport(world, request, now);
  moveOn(world, request, attempt, now);
}

/** Nothing ran there, so whatever held before holds again. */
function takeNotStarted(
  world: World,
  request: Request,
  attempt: Attempt,
  now: Milliseconds,
): void {
  request.ran = attempt.ranBefore;
  world.attempts.delete(attempt.id);
  delete request.attempt;
  returnGrant(world, request, attempt.upstream);
  planAgain(world, request, attempt.upstream, now);
}

/** Asks the same upstream for the rest of a stream. */
export function resume(
  world: World,
  request: Request,
  attempt: Attempt,
  now: Milliseconds,
): void {
  if (attempt.resumes >= world.options.resumeLimit) {
    return moveOn(world, request, attempt, now);
  }
  attempt.resumes += 1;
  attempt.progressAt = now;
  count(world, "resumes");
  order(world, {
    type: "resume",
    attempt: attempt.id,
    upstream: attempt.upstream,
    after: request.tokens,
  });
}

/** Leaves an attempt that may have run, if the request may run again. */
function moveOn(
  world: World,
  request: Request,
  attempt: Attempt,
  now: Milliseconds,
): void {
  if (request.call.once) {
    return failRequest(world, request, ErrorKind.outcomeUnknown, now);
  }
  const begun = request.call.stream && request.tokens > 0;
  if (begun) return failRequest(world, request, ErrorKind.streamBroken, now);
  request.ran = Ran.ran;
  abandonAttempt(world, request, now);
  startOver(request);
  dropDeadExport(world, request, attempt, now);
  planAgain(world, request, attempt.upstream, now);
}

function startOver(request: Request): void {
  request.tokens = 0;
  request.chunks = [];
  delete request.firstTokenAt;
  delete request.lastTokenAt;
}

/** A prefill's export is of use only while it lives. */
function dropDeadExport(
  world: World,
  request: Request,
  attempt: Attempt,
  now: Milliseconds,
): void {
  const kept = request.export;
  if (!kept) return;
  const lives = now + EXPORT_MARGIN_MS < kept.until;
  if (lives && kept.upstream !== attempt.upstream) return;
  abandonExport(world, request, now);
}

/** Asks for other places, within the limits on retries. */
function planAgain(
  world: World,
  request: Request,
  failed: UpstreamId,
  now: Milliseconds,
): void {
  const notRun = request.ran === Ran.notRun;
  const late = now >= request.giveUpAt;
  const spent = request.rounds >= world.options.roundLimit;
  if (late || spent || !spendRetry(world)) {
    const error = notRun
      ? ErrorKind.noCapacityInTime
      : ErrorKind.upstreamFailed;
    return failRequest(world, request, error, now);
  }
  count(world, "retries");
  returnGrant(world, request);
  request.excluded.push(failed);
  request.refusedBy = [];
  enter(world, request, Phase.planning, now);
}

/** Retries are a share of requests, so that they can't feed an overload. */
function spendRetry(world: World): boolean {
  if (world.retryTokens < 1) return false;
  world.retryTokens -= 1;
  return true;
}

/** Each new request earns a part of a retry. */
export function earnRetry(world: World): void {
  const earned = world.retryTokens + world.options.retryShare;
  world.retryTokens = Math.min(BUDGET_LIMIT, earned);
}

/** Gives up attempts that take too long. */
export function checkProgress(world: World, now: Milliseconds): void {
  for (const request of world.requests.values()) {
    const attempt = request.attempt && world.attempts.get(request.attempt);
    if (!attempt || request.phase === Phase.closing) continue;
    checkAttempt(world, request, attempt, now);
  }
}

function checkAttempt(
  world: World,
  request: Request,
  attempt: Attempt,
  now: Milliseconds,
): void {
  const silentMs = now - attempt.progressAt;
  if (request.tokens > 0) {
    if (silentMs < world.options.progressTimeoutMs) return;
    return resume(world, request, attempt, now);
  }
  if (now >= request.giveUpAt) {
    const error = request.call.once
      ? ErrorKind.outcomeUnknown
      : ErrorKind.upstreamFailed;
    return failRequest(world, request, error, now);
  }
  if (silentMs < patienceWith(world, request)) return;
  count(world, "attempts_timed_out");
  moveOn(world, request, attempt, now);
}

/** How long the first sign of an attempt may take. */
function patienceWith(world: World, request: Request): Milliseconds {
  const { prefillSlackMs, transferSlackMs } = world.options;
  if (request.call.kind === "plain") return Infinity;
  const predicted = request.grant?.predictedMs ?? 0;
  if (request.phase === Phase.prefilling) return predicted + prefillSlackMs;
  if (!request.export) return predicted + prefillSlackMs;
  return 2 * (request.grant?.transferMs ?? 0) + transferSlackMs;
}
