/** The planner's ledger: places granted, and what they come to. */
import type { RequestId } from "../request_ids.ts";
import type { CustomerId, PoolId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import {
  type Grant,
  type Holding,
  type Occupancy,
  type PoolUse,
  Stage,
} from "../tables/plans.ts";
import { count, type World } from "../world.ts";
import { emptyLine, joinLine, leaveLine } from "./line.ts";

/** Gap between ends assumed before any request has ended. */
const FIRST_END_GAP_MS = 200;
/** Weight of the newest sample in smoothed times. */
const SMOOTHING = 0.1;

/** What the grants of an upstream come to. */
export function occupancyOf(world: World, upstream: UpstreamId): Occupancy {
  const known = world.plans.occupancy.get(upstream);
  if (known) return known;
  const empty: Occupancy = {
    held: 0,
    decoding: 0,
    prefills: emptyLine(),
    transfers: emptyLine(),
    transfersToCome: 0,
    decodingAtReport: 0,
  };
  world.plans.occupancy.set(upstream, empty);
  return empty;
}

/** The pool's row at this planner. */
export function useOf(world: World, pool: PoolId): PoolUse {
  const known = world.plans.uses.get(pool);
  if (known) return known;
  const row: PoolUse = {
    holdings: new Map(),
    held: 0,
    endGapMs: FIRST_END_GAP_MS,
    lastEndAt: 0,
    changed: true,
    nextPassAt: 0,
  };
  world.plans.uses.set(pool, row);
  return row;
}

/** What a customer holds of a pool. */
export function holdingOf(use: PoolUse, customer: CustomerId): Holding {
  const known = use.holdings.get(customer);
  if (known) return known;
  const row = { held: 0, share: 1 };
  use.holdings.set(customer, row);
  return row;
}

/** Enters a grant. */
export function addGrant(
  world: World,
  grant: Grant,
  now: Milliseconds,
): void {
  endGrant(world, grant.request, now);
  world.plans.grants.set(grant.request, grant);
  const use = useOf(world, grant.pool);
  use.held += 1;
  use.changed = true;
  holdingOf(use, grant.customer).held += 1;
  occupancyOf(world, grant.decode).held += 1;
  enterStage(world, grant, now);
}

/** Moves a grant to a later stage. */
export function moveGrant(
  world: World,
  request: RequestId,
  stage: Stage,
  now: Milliseconds,
): void {
  const grant = world.plans.grants.get(request);
  if (!grant || grant.stage === stage) return;
  if (stage === Stage.ended) return endGrant(world, request, now);
  leaveStage(world, grant, now);
  grant.stage = stage;
  grant.stageSince = now;
  grant.renewedAt = now;
  enterStage(world, grant, now);
  useOf(world, grant.pool).changed = true;
}

/** Strikes a grant; its places are free. */
export function endGrant(
  world: World,
  request: RequestId,
  now: Milliseconds,
): void {
  const grant = world.plans.grants.get(request);
  if (!grant) return;
  leaveStage(world, grant, now);
  world.plans.grants.delete(request);
  occupancyOf(world, grant.decode).held -= 1;
  const use = useOf(world, grant.pool);
  use.held -= 1;
  use.changed = true;
  const holding = holdingOf(use, grant.customer);
  holding.held -= 1;
  if (holding.held === 0) use.holdings.delete(grant.customer);
  noteEnd(use, grant, now);
}

function noteEnd(use: PoolUse, grant: Grant, now: Milliseconds): void {
  if (grant.stage !== Stage.decode) return;
  const gapMs = now - use.lastEndAt;
  if (use.lastEndAt > 0) {
    use.endGapMs += (gapMs - use.endGapMs) * SMOOTHING;
  }
  use.lastEndAt = now;
}

/** The upstream that does a grant's prefill. */
function prefillPlace(grant: Grant): UpstreamId {
  return grant.prefill === "" ? grant.decode : grant.prefill;
}

function enterStage(world: World, grant: Grant, now: Milliseconds): void {
  const place = occupancyOf(world, prefillPlace(grant));
  const { request, uncachedTokens, transferTokens } = grant;
  switch (grant.stage) {
    case Stage.prefill:
      joinLine(place.prefills, request, uncachedTokens, now);
      place.transfersToCome += transferTokens;
      return;
    case Stage.transfer:
      return joinLine(place.transfers, request, transferTokens, now);
    case Stage.decode:
      occupancyOf(world, grant.decode).decoding += 1;
      return;
    case Stage.ended:
      return;
  }
}

function leaveStage(world: World, grant: Grant, now: Milliseconds): void {
  const place = occupancyOf(world, prefillPlace(grant));
  switch (grant.stage) {
    case Stage.prefill:
      leaveLine(place.prefills, grant.request, now);
      place.transfersToCome -= grant.transferTokens;
      return;
    case Stage.transfer:
      return leaveLine(place.transfers, grant.request, now);
    case Stage.decode:
      occupancyOf(world, grant.decode).decoding -= 1;
      return;
    case Stage.ended:
      return;
  }
}

/** Strikes grants that their owners no longer renew. */
export function expireGrants(world: World, now: Milliseconds): void {
  for (const grant of world.plans.grants.values()) {
    const age = now - grant.renewedAt;
    if (age < world.options.grantTimeoutMs) continue;
    count(world, "grants_expired");
    endGrant(world, grant.request, now);
  }
}

/** Notes what the ledger said when an upstream reported its load. */
export function noteReport(world: World, id: UpstreamId): void {
  const upstream = world.upstreams.get(id);
  if (!upstream) return;
  const place = occupancyOf(world, id);
  place.decodingAtReport = place.decoding;
  useOf(world, upstream.pool).changed = true;
}
