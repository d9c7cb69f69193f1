/** What all parts do with a request: give it an attempt, and end it. */
import type { ErrorKind } from "../errors.ts";
import { ANSWERS, Ran } from "../errors.ts";
import type { AttemptId } from "../request_ids.ts";
import type { UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { attemptId } from "../request_ids.ts";
import { Mechanism } from "../options.ts";
import type { Attempt, Phase, Request } from "../tables/requests.ts";
import { Stage } from "../tables/plans.ts";
import { count, enabled, log, order, type World } from "../world.ts";
import { tell } from "./peers.ts";
import { release } from "./release.ts";

/** Moves a request to its next phase. */
export function enter(
  world: World,
  request: Request,
  phase: Phase,
  now: Milliseconds,
): void {
  request.phase = phase;
  request.phaseSince = now;
  world.changed = true;
}

/** Makes the request's next attempt at an upstream. */
export function newAttempt(
  world: World,
  request: Request,
  upstream: UpstreamId,
  now: Milliseconds,
): Attempt {
  request.attempts += 1;
  const id: AttemptId = attemptId(request.id, request.attempts);
  const attempt = {
    id,
    request: request.id,
    upstream,
    ranBefore: request.ran,
    progressAt: now,
    resumes: 0,
  };
  world.attempts.set(id, attempt);
  request.attempt = id;
  return attempt;
}

/** The request that an attempt still stands for; late ones have none. */
export function requestOf(
  world: World,
  attempt: AttemptId,
): Request | undefined {
  const row = world.attempts.get(attempt);
  const request = row && world.requests.get(row.request);
  if (!request) return undefined;
  if (request.attempt === attempt) return request;
  return enabled(world, Mechanism.matchAttempts) ? undefined : request;
}

/** Gives up the current attempt; its upstream is told until it confirms. */
export function abandonAttempt(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  const attempt = request.attempt && world.attempts.get(request.attempt);
  delete request.attempt;
  if (!attempt) return;
  const matches = enabled(world, Mechanism.matchAttempts);
  if (matches) world.attempts.delete(attempt.id);
  release(world, attempt.id, attempt.upstream, now);
}

/** Lets go of a kept prefill that no decode will fetch any more. */
export function abandonExport(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  const kept = request.export;
  delete request.export;
  if (!kept) return;
  release(world, kept.attempt, kept.upstream, now);
}

/** Tells the request's planner that its places are free, and why. */
export function returnGrant(
  world: World,
  request: Request,
  failedUpstream: UpstreamId | "" = "",
): void {
  const asked = request.planner;
  delete request.grant;
  delete request.planner;
  if (asked === undefined) return;
  const value = { request: request.id, stage: Stage.ended, failedUpstream };
  tell(world, asked, { $case: "planProgress", value });
}

/** Ends a request with an error, at once. */
export function failRequest(
  world: World,
  request: Request,
  error: ErrorKind,
  now: Milliseconds,
  retryAfterSeconds?: number,
): void {
  const answer = ANSWERS[error];
  const proved = enabled(world, Mechanism.proveNotRun);
  const ran = proved ? certainty(request, answer.ran) : Ran.notRun;
  const comeBack = retryAfterSeconds ?? answer.retryAfterSeconds;
  order(world, {
    type: "replyError",
    request: request.id,
    error,
    ran,
    ...(comeBack === undefined ? {} : { retryAfterSeconds: comeBack }),
  });
  log(world, {
    part: "requests",
    sentence: "A request ends without its whole answer",
    request: request.id,
    fields: { error, ran },
  });
  observe(world, request, error);
  closeRequest(world, request, now);
}

/**
 * What may be said of a request. Of one that may not be repeated, an earlier
 * call under its key can only be ruled out by winning the claim.
 */
function certainty(request: Request, ofKind: Ran): Ran {
  const unclaimed = request.call.once && !request.claimed;
  const earlier = unclaimed ? Ran.unknown : Ran.notRun;
  return worse(worse(ofKind, request.ran), earlier);
}

const CERTAINTY: readonly Ran[] = [Ran.notRun, Ran.unknown, Ran.ran];

/** The one that claims less innocence. */
function worse(one: Ran, other: Ran): Ran {
  const place = Math.max(CERTAINTY.indexOf(one), CERTAINTY.indexOf(other));
  return CERTAINTY[place] ?? Ran.unknown;
}

/** Ends a request whose caller went away. */
export function dropRequest(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  count(world, "callers_gone");
  log(world, {
    part: "requests",
    sentence: "The caller went away",
    request: request.id,
  });
  closeRequest(world, request, now);
}

/** Ends a request whose whole answer has been passed to the caller. */
export function completeRequest(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  observe(world, request);
  request.answered = true;
  if (request.attempt) world.attempts.delete(request.attempt);
  delete request.attempt;
  closeRequest(world, request, now);
}

/** Frees what a request holds; key and claim are let go by their parts. */
function closeRequest(
  world: World,
  request: Request,
  now: Milliseconds,
): void {
  abandonAttempt(world, request, now);
  abandonExport(world, request, now);
  returnGrant(world, request);
  world.requests.delete(request.id);
  world.ended.push(request);
  world.changed = true;
}

function observe(world: World, request: Request, error?: ErrorKind): void {
  const first = request.firstTokenAt;
  const firstTokenMs = first === undefined
    ? undefined
    : first - request.arrived;
  const between = betweenTokens(request);
  const { setup } = request;
  const good = error === undefined &&
    (firstTokenMs ?? 0) <= setup.firstTokenMs &&
    (between ?? 0) <= setup.betweenTokensMs;
  count(world, good ? "requests_good" : "requests_bad");
  order(world, {
    type: "observe",
    customer: request.customer,
    service: request.call.service,
    good,
    ...(firstTokenMs === undefined ? {} : { firstTokenMs }),
    ...(between === undefined ? {} : { betweenTokensMs: between }),
    ...(error === undefined ? {} : { error }),
  });
}

function betweenTokens(request: Request): Milliseconds | undefined {
  const { firstTokenAt, lastTokenAt, tokens } = request;
  if (firstTokenAt === undefined || lastTokenAt === undefined) return undefined;
  if (tokens < 2) return undefined;
  return (lastTokenAt - firstTokenAt) / (tokens - 1);
}
