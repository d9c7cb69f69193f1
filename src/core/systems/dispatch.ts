/** Sends requests that have their places to upstreams. */
import { Ran } from "../errors.ts";
import type { AttemptId } from "../request_ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { PlanGrant } from "../../messages/peer.ts";
import { Stage } from "../tables/plans.ts";
import { Phase, type Request } from "../tables/requests.ts";
import { count, order, type World } from "../world.ts";
import { tell } from "./peers.ts";
import { enter, newAttempt, requestOf } from "./requests.ts";

/** Dispatches every request that is ready. */
export function dispatchReady(world: World, now: Milliseconds): void {
  for (const request of world.requests.values()) {
    if (request.phase !== Phase.ready || !request.grant) continue;
    dispatch(world, request, request.grant, now);
  }
}

function dispatch(
  world: World,
  request: Request,
  grant: PlanGrant,
  now: Milliseconds,
): void {
  if (request.call.kind === "plain") {
    return sendPlain(world, request, grant, now);
  }
  if (request.export) {
    return sendDecode(world, request, grant, now, request.export.transfer);
  }
  if (grant.prefill === "") return sendDecode(world, request, grant, now);
  sendPrefill(world, request, grant, now);
}

function sendPlain(
  world: World,
  request: Request,
  grant: PlanGrant,
  now: Milliseconds,
): void {
  const attempt = newAttempt(world, request, grant.decode, now);
  enter(world, request, Phase.calling, now);
  request.ran = Ran.unknown;
  order(world, {
    type: "callPlain",
    attempt: attempt.id,
    request: request.id,
    upstream: grant.decode,
    path: request.call.path,
    body: request.call.body,
  });
  tellStage(world, request, Stage.decode);
}

function sendPrefill(
  world: World,
  request: Request,
  grant: PlanGrant,
  now: Milliseconds,
): void {
  const attempt = newAttempt(world, request, grant.prefill, now);
  enter(world, request, Phase.prefilling, now);
  request.ran = Ran.unknown;
  order(world, {
    type: "prefill",
    attempt: attempt.id,
    request: request.id,
    upstream: grant.prefill,
    path: request.call.path,
    body: request.call.body,
    priority: request.setup.priority,
  });
}

function sendDecode(
  world: World,
  request: Request,
  grant: PlanGrant,
  now: Milliseconds,
  transfer?: string,
): void {
  const attempt = newAttempt(world, request, grant.decode, now);
  enter(world, request, Phase.decoding, now);
  request.ran = Ran.unknown;
  order(world, {
    type: "decode",
    attempt: attempt.id,
    request: request.id,
    upstream: grant.decode,
    path: request.call.path,
    body: request.call.body,
    priority: request.setup.priority,
    ...(transfer === undefined ? {} : { transfer }),
  });
}

/** What a prefill upstream says when it has done its part. */
export type Prefilled = {
  readonly attempt: AttemptId;
  readonly transfer: string;
  readonly keptMs: Milliseconds;
  readonly cachedTokens: number;
};

/** The prefill is done: its export goes to the decode upstream. */
export function takePrefilled(
  world: World,
  done: Prefilled,
  now: Milliseconds,
): void {
  const request = requestOf(world, done.attempt);
  const attempt = world.attempts.get(done.attempt);
  if (!request?.grant || !attempt) return count(world, "late_answers");
  world.attempts.delete(done.attempt);
  request.export = {
    upstream: attempt.upstream,
    attempt: done.attempt,
    transfer: done.transfer,
    until: now + done.keptMs,
  };
  tellStage(world, request, Stage.transfer);
  sendDecode(world, request, request.grant, now, done.transfer);
}

/** Tells the request's planner how far it is. */
export function tellStage(
  world: World,
  request: Request,
  stage: Stage,
): void {
  if (request.planner === undefined) return;
  const value = { request: request.id, stage, failedUpstream: "" };
  tell(world, request.planner, { $case: "planProgress", value });
}
