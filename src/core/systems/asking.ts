/** Asks planners for places, and takes their answers. */
import { ErrorKind } from "../errors.ts";
import type { RequestId } from "../request_ids.ts";
import type { HostId, PoolId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { PlanGrant, PlanRefusal } from "../../messages/peer.ts";
import { Stage } from "../tables/plans.ts";
import { Phase, type Request } from "../tables/requests.ts";
import { count, log, type World } from "../world.ts";
import { plannerOf, suspectPeer } from "./membership.ts";
import { tell } from "./peers.ts";
import { nextPool } from "./pools.ts";
import { enter, failRequest, returnGrant } from "./requests.ts";
import { accepting } from "./upstreams.ts";

/** Asks for every request that waits for places and has not asked. */
export function askPlanners(world: World, now: Milliseconds): void {
  for (const request of world.requests.values()) {
    if (request.phase !== Phase.planning) continue;
    checkAsk(world, request, now);
  }
}

function checkAsk(world: World, request: Request, now: Milliseconds): void {
  if (now >= request.giveUpAt) {
    return failRequest(world, request, ErrorKind.noCapacityInTime, now);
  }
  const asked = request.planner;
  const silent = asked !== undefined && !request.queued &&
    now - request.askedAt >= world.options.askTimeoutMs;
  if (silent && asked !== world.self.id) suspectPeer(world, asked, now);
  const pool = poolOf(world, request);
  if (pool === undefined) {
    return failRequest(world, request, ErrorKind.noUpstream, now);
  }
  const planner = plannerOf(world, pool, now);
  if (planner === asked && !silent) return;
  if (asked !== undefined) returnGrant(world, request);
  ask(world, request, { pool, planner }, now);
}

/** The pool asked last, while it stands, or the next. */
function poolOf(world: World, request: Request): PoolId | undefined {
  const { pool } = request;
  if (pool !== undefined && world.pools.has(pool)) return pool;
  return nextPool(world, request);
}

function ask(
  world: World,
  request: Request,
  { pool, planner }: { readonly pool: PoolId; readonly planner: HostId },
  now: Milliseconds,
): void {
  const { call, setup } = request;
  request.pool = pool;
  request.planner = planner;
  request.askedAt = now;
  request.queued = false;
  const value = {
    request: request.id,
    pool,
    customer: request.customer,
    promptTokens: call.promptTokens,
    prefixes: [...call.prefixes],
    maxTokens: call.maxTokens,
    priority: setup.priority,
    share: setup.share,
    slackMs: Math.max(0, request.arrived + setup.firstTokenMs - now),
    patienceMs: request.giveUpAt - now,
    firstTokenMs: setup.firstTokenMs,
    betweenTokensMs: setup.betweenTokensMs,
    wholePrefillTokens: setup.wholePrefillTokens,
    exportUpstream: request.export?.upstream ?? "",
    excluded: request.excluded,
    round: request.rounds,
  };
  tell(world, planner, { $case: "planAsk", value });
}

/** The planner has queued the ask. */
export function takeQueued(
  world: World,
  from: HostId,
  id: RequestId,
): void {
  const request = world.requests.get(id);
  if (request?.planner === from) request.queued = true;
}

/** Takes the places that a planner gave, if they are still wanted. */
export function takeGrant(
  world: World,
  from: HostId,
  grant: PlanGrant,
  now: Milliseconds,
): void {
  const request = world.requests.get(grant.request);
  const wanted = request?.phase === Phase.planning && request.planner === from;
  if (!wanted) {
    if (request?.planner === from) return;
    const { request: id } = grant;
    const value = { request: id, stage: Stage.ended, failedUpstream: "" };
    return tell(world, from, { $case: "planProgress", value });
  }
  const places = [grant.prefill, grant.decode].filter((one) => one !== "");
  const closed = places.find((one) => !accepting(world, one));
  request.rounds += 1;
  if (closed !== undefined) return askElsewhere(world, request, closed, now);
  request.grant = grant;
  request.nextKeepAt = now + world.options.keepMs;
  enter(world, request, Phase.claiming, now);
  logGrant(world, request, grant);
}

/** The planner does not know yet that an upstream takes no new work. */
function askElsewhere(
  world: World,
  request: Request,
  closed: UpstreamId,
  now: Milliseconds,
): void {
  returnGrant(world, request);
  if (request.rounds >= world.options.roundLimit) {
    return failRequest(world, request, ErrorKind.noUpstream, now);
  }
  request.excluded.push(closed);
  world.changed = true;
}

function logGrant(world: World, request: Request, grant: PlanGrant): void {
  log(world, {
    part: "placement",
    sentence: "Places are granted",
    request: request.id,
    fields: {
      prefill: grant.prefill || "none",
      decode: grant.decode,
      predictedMs: Math.round(grant.predictedMs),
      cachedTokens: grant.cachedTokens,
      round: request.rounds,
    },
  });
}

/** Asks the service's next pool, or tells the caller at once. */
export function takeRefusal(
  world: World,
  from: HostId,
  refusal: PlanRefusal,
  now: Milliseconds,
): void {
  const request = world.requests.get(refusal.request);
  if (request?.phase !== Phase.planning || request.planner !== from) return;
  const error = refusal.error === ErrorKind.noUpstream
    ? ErrorKind.noUpstream
    : ErrorKind.overloaded;
  if (request.pool !== undefined) request.refusedBy.push(request.pool);
  delete request.pool;
  delete request.planner;
  world.changed = true;
  if (nextPool(world, request) !== undefined) return;
  count(world, "requests_refused");
  failRequest(world, request, error, now, refusal.retryAfterSeconds);
}

/** Renews this host's grants, also with a planner that has just taken over. */
export function renewGrants(world: World, now: Milliseconds): void {
  for (const request of world.requests.values()) {
    if (!request.grant) continue;
    const planner = plannerOf(world, request.pool ?? "", now);
    const moved = planner !== request.planner;
    if (now < request.nextKeepAt && !moved) continue;
    request.nextKeepAt = now + world.options.keepMs;
    request.planner = planner;
    keep(world, request, request.grant, planner);
  }
}

function keep(
  world: World,
  request: Request,
  grant: PlanGrant,
  planner: HostId,
): void {
  const decoding = request.phase === Phase.decoding ||
    request.phase === Phase.calling;
  const { call } = request;
  const value = {
    request: request.id,
    pool: request.pool ?? call.service,
    customer: request.customer,
    prefill: grant.prefill,
    decode: grant.decode,
    stage: decoding ? Stage.decode : Stage.prefill,
    uncachedTokens: Math.max(0, call.promptTokens - grant.cachedTokens),
    promptTokens: call.promptTokens,
  };
  tell(world, planner, { $case: "planKeep", value });
}
