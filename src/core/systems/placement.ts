/**
 * The planner: keeps waiting asks in order of their slack, chooses places for
 * them, and refuses at once what can't be served in time.
 */
import { ErrorKind } from "../errors.ts";
import type { RequestId } from "../request_ids.ts";
import type { HostId, PoolId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { PlanAsk, PlanKeep, PlanProgress } from "../../messages/peer.ts";
import {
  type Candidate,
  type Choice,
  choosePlain,
  type Query,
} from "../policies/mod.ts";
import { type Ask, type PoolUse, Stage } from "../tables/plans.ts";
import { count, type World } from "../world.ts";
import { addGrant, endGrant, holdingOf, moveGrant, useOf } from "./ledger.ts";
import { tell } from "./peers.ts";
import { inOrder } from "./ask_order.ts";
import { type Draft, makeDraft, poolFor } from "./pool.ts";
import { expectCached, suspectUpstream } from "./upstreams.ts";

/** A queue without changes is gone through again after this time. */
const PASS_MS = 20;
/** A pool whose wait takes more than this part of the target is loaded. */
const LOADED_SHARE = 0.25;
/** Time to come back when no upstream reports: a few reports and reads. */
const NO_UPSTREAM_SECONDS = 10;
/** Longest time to come back that a caller is told. */
const MOST_RETRY_SECONDS = 30;

/** Queues an ask; it is looked at in this step. */
export function takeAsk(
  world: World,
  from: HostId,
  ask: PlanAsk,
  now: Milliseconds,
): void {
  const queue = queueOf(world, ask.pool);
  const known = world.plans.grants.get(ask.request);
  if (known) endGrant(world, ask.request, now);
  const use = useOf(world, ask.pool);
  use.changed = true;
  holdingOf(use, ask.customer).share = ask.share;
  queue.set(ask.request, {
    from,
    ask,
    due: now + ask.slackMs,
    giveUpAt: now + ask.patienceMs,
    queued: false,
  });
}

function queueOf(world: World, pool: PoolId): Map<RequestId, Ask> {
  const known = world.plans.asks.get(pool);
  if (known) return known;
  const queue = new Map<RequestId, Ask>();
  world.plans.asks.set(pool, queue);
  return queue;
}

/** Takes an owner's word of how far its request is. */
export function takeProgress(
  world: World,
  progress: PlanProgress,
  now: Milliseconds,
): void {
  const { request, stage, failedUpstream } = progress;
  if (failedUpstream !== "") suspectUpstream(world, failedUpstream, now);
  if (stage === Stage.ended) dropAsk(world, request);
  moveGrant(world, request, stage as Stage, now);
}

function dropAsk(world: World, request: RequestId): void {
  for (const queue of world.plans.asks.values()) queue.delete(request);
}

/** Renews a grant, or enters one that an earlier planner made. */
export function takeKeep(
  world: World,
  keep: PlanKeep,
  now: Milliseconds,
): void {
  const known = world.plans.grants.get(keep.request);
  if (known) {
    known.renewedAt = now;
    return;
  }
  addGrant(world, {
    request: keep.request,
    pool: keep.pool,
    customer: keep.customer,
    prefill: keep.prefill,
    decode: keep.decode,
    uncachedTokens: keep.uncachedTokens,
    transferTokens: keep.prefill === "" ? 0 : keep.promptTokens,
    stage: keep.stage as Stage,
    stageSince: now,
    renewedAt: now,
  }, now);
}

/** Goes through the queues that have changed. */
export function placeAsks(world: World, now: Milliseconds): void {
  for (const [name, queue] of world.plans.asks) {
    if (queue.size === 0) continue;
    const use = useOf(world, name);
    if (!use.changed && now < use.nextPassAt) continue;
    use.nextPassAt = now + PASS_MS;
    passQueue(world, name, use, queue, now);
    if (queue.size === 0) forgetIdle(use);
    // What the pass itself has granted needs no further pass.
    use.changed = false;
  }
}

/** Customers that neither hold nor wait for anything need no row. */
function forgetIdle(use: PoolUse): void {
  for (const [customer, one] of use.holdings) {
    if (one.held === 0) use.holdings.delete(customer);
  }
}

function passQueue(
  world: World,
  name: PoolId,
  use: PoolUse,
  queue: Map<RequestId, Ask>,
  now: Milliseconds,
): void {
  const draft = makeDraft(world, name, now);
  for (const ask of inOrder(use, queue)) {
    placeAsk(world, use, queue, draft, ask, now);
  }
}

function placeAsk(
  world: World,
  use: PoolUse,
  queue: Map<RequestId, Ask>,
  draft: Draft,
  ask: Ask,
  now: Milliseconds,
): void {
  if (now >= ask.giveUpAt) {
    queue.delete(ask.ask.request);
    return;
  }
  const query = queryOf(world, ask, now);
  const pool = poolFor(draft, ask.ask);
  if (pool.decode.length === 0) {
    if (draft.pending) return hold(world, use, queue, ask);
    return refuse(world, queue, ask, "none");
  }
  const choice = draft.plain
    ? choosePlain(query, pool)
    : world.policy.choose(query, pool);
  if (!choice) {
    const wait = hopelessWait(use, draft, ask, now);
    if (wait !== undefined) return refuse(world, queue, ask, wait);
    draft.waiting += 1;
    return hold(world, use, queue, ask);
  }
  if (lateUnderLoad(world, ask, choice, now)) {
    return refuse(world, queue, ask, choice.waitMs);
  }
  draft.take(choice);
  if (choice.waitMs > world.policy.aheadMs) {
    return hold(world, use, queue, ask);
  }
  grant(world, queue, ask, choice, now);
}

function queryOf(
  world: World,
  { ask, due, from }: Ask,
  now: Milliseconds,
): Query {
  return {
    hall: world.hosts.get(from)?.hall ?? "",
    promptTokens: ask.promptTokens,
    wholePrefillTokens: ask.wholePrefillTokens,
    exportUpstream: ask.exportUpstream,
    slackMs: due - now,
    transferMsPerToken: world.options.transferMsPerToken,
  };
}

/** Whether it can't meet its target and its pool has no time to spare. */
function lateUnderLoad(
  world: World,
  ask: Ask,
  choice: Choice,
  now: Milliseconds,
): boolean {
  if (!world.policy.refusesLate || ask.ask.round > 0) return false;
  if (now + choice.predictedMs <= ask.due) return false;
  return choice.waitMs > ask.ask.firstTokenMs * LOADED_SHARE;
}

/** Without a free slot: the wait, when it takes longer than the target. */
function hopelessWait(
  use: PoolUse,
  draft: Draft,
  ask: Ask,
  now: Milliseconds,
): Milliseconds | undefined {
  if (!draft.refusesLate || ask.ask.round > 0) return undefined;
  const waitMs = (draft.waiting + 1) * use.endGapMs;
  if (now + waitMs <= ask.due) return undefined;
  return waitMs;
}

/** Keeps an ask in the queue, unless that is full. */
function hold(
  world: World,
  use: PoolUse,
  queue: Map<RequestId, Ask>,
  ask: Ask,
): void {
  if (queue.size > world.options.askQueueLimit) {
    return refuse(world, queue, ask, queue.size * use.endGapMs);
  }
  if (ask.queued) return;
  ask.queued = true;
  const value = { request: ask.ask.request };
  tell(world, ask.from, { $case: "planQueued", value });
}

function refuse(
  world: World,
  queue: Map<RequestId, Ask>,
  ask: Ask,
  waitMs: Milliseconds | "none",
): void {
  queue.delete(ask.ask.request);
  const none = waitMs === "none";
  const seconds = none ? NO_UPSTREAM_SECONDS : Math.ceil(waitMs / 1000);
  const value = {
    request: ask.ask.request,
    error: none ? ErrorKind.noUpstream : ErrorKind.overloaded,
    retryAfterSeconds: Math.min(MOST_RETRY_SECONDS, Math.max(1, seconds)),
  };
  count(world, "asks_refused");
  tell(world, ask.from, { $case: "planRefusal", value });
}

function grant(
  world: World,
  queue: Map<RequestId, Ask>,
  ask: Ask,
  choice: Choice,
  now: Milliseconds,
): void {
  queue.delete(ask.ask.request);
  const { request, pool, customer, prefixes } = ask.ask;
  const prefill = choice.prefill?.upstream.id ?? "";
  const decode = choice.decode.upstream.id;
  const exported = ask.ask.exportUpstream !== "";
  addGrant(world, {
    request,
    pool,
    customer,
    prefill,
    decode,
    uncachedTokens: choice.uncachedTokens,
    transferTokens: choice.transferTokens,
    stage: exported ? Stage.transfer : Stage.prefill,
    stageSince: now,
    renewedAt: now,
  }, now);
  const place: Candidate = choice.prefill ?? choice.decode;
  if (!exported) expectCached(place.upstream, prefixes, now);
  const value = {
    request,
    prefill,
    decode,
    predictedMs: choice.predictedMs,
    transferMs: choice.transferMs,
    cachedTokens: Math.floor(choice.cachedTokens),
  };
  count(world, "grants");
  tell(world, ask.from, { $case: "planGrant", value });
}
