/** What a policy sees of a pool's upstreams during one pass. */
import type { PoolId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { PlanAsk } from "../../messages/peer.ts";
import type { Candidate, Choice, Pool } from "../policies/mod.ts";
import { Role, type Upstream } from "../tables/upstreams.ts";
import type { World } from "../world.ts";
import { occupancyOf } from "./ledger.ts";
import { backlog } from "./line.ts";
import { isTurning } from "./turns.ts";
import { accepting, cachedTokens, stepLine, victimAge } from "./upstreams.ts";

/** Part of the between-tokens target that a full batch may use. */
const STEP_SHARE = 0.92;
/** Step time assumed before any report. */
const FIRST_STEP_MS = 20;
/** An upstream's first report comes within this time or not at all. */
const FIRST_REPORT_MS = 1000;
/** Running requests more than the ledger's that lag alone explains. */
const LAG_REQUESTS = 2;

/** An upstream during one pass over a queue. */
type Row = {
  readonly upstream: Upstream;
  queueTokens: number;
  /** Tokens to be moved from here, those still in prefill included. */
  transferTokens: number;
  held: number;
  readonly decoding: number;
  readonly victimAgeMs: Milliseconds;
};

/** The pool during one pass, with what the pass has given out so far. */
export type Draft = {
  readonly rows: readonly Row[];
  readonly refusesLate: boolean;
  /** Reports of some upstreams have been asked for and not come yet. */
  readonly pending: boolean;
  /** A plain service: no prefill, no cache. */
  readonly plain: boolean;
  /** Asks of this pass that found no slot. */
  waiting: number;
  /** Notes a choice, so that the next ask sees its load. */
  take(choice: Choice): void;
};

/** Starts a pass: the usable upstreams of a pool as they are now. */
export function makeDraft(
  world: World,
  name: PoolId,
  now: Milliseconds,
): Draft {
  const all = world.pools.get(name) ?? [];
  const pending = all.some((one) => isPending(world, one, now));
  const rows = all
    .filter((one) => usable(world, one, now))
    .map((one) => makeRow(world, one, now));
  const take = (choice: Choice): void => takeChoice(rows, choice);
  const plain = rows.some((row) => row.upstream.role === Role.plain);
  const { refusesLate } = world.policy;
  return { rows, refusesLate, pending, plain, waiting: 0, take };
}

function usable(
  world: World,
  upstream: Upstream,
  now: Milliseconds,
): boolean {
  if (!accepting(world, upstream.id)) return false;
  if (isTurning(world, upstream)) return false;
  return now - upstream.reportedAt < world.options.reportTimeoutMs;
}

/** This host has only just begun to plan for the upstream. */
function isPending(
  world: World,
  upstream: Upstream,
  now: Milliseconds,
): boolean {
  if (!accepting(world, upstream.id)) return false;
  const begun = now - upstream.polledAt < 2 * world.options.loadPollMs;
  if (!begun) return true;
  if (upstream.reportedAt >= upstream.pollingSince) return false;
  return now - upstream.pollingSince < FIRST_REPORT_MS;
}

function makeRow(world: World, upstream: Upstream, now: Milliseconds): Row {
  const place = occupancyOf(world, upstream.id);
  const running = upstream.report?.running ?? 0;
  const foreign = running - place.decodingAtReport - LAG_REQUESTS;
  return {
    upstream,
    queueTokens: backlog(place.prefills, upstream.prefillRate / 1000, now),
    transferTokens: place.transfersToCome +
      backlog(place.transfers, 1 / world.options.transferMsPerToken, now),
    victimAgeMs: victimAge(upstream, now),
    held: place.held + Math.max(0, foreign),
    decoding: place.decoding + Math.max(0, foreign),
  };
}

function takeChoice(rows: readonly Row[], choice: Choice): void {
  const place = (choice.prefill ?? choice.decode).upstream.id;
  const decode = choice.decode.upstream.id;
  for (const row of rows) {
    if (row.upstream.id === place) {
      row.queueTokens += choice.uncachedTokens;
      row.transferTokens += choice.transferTokens;
    }
    if (row.upstream.id === decode) row.held += 1;
  }
}

/** The pool as one ask may use it. */
export function poolFor(draft: Draft, ask: PlanAsk): Pool {
  const view = (row: Row): Candidate => candidate(row, ask);
  const { rows } = draft;
  const prefill = rows.filter((row) => row.upstream.role === Role.prefill);
  const decode = rows.filter((row) => row.upstream.role !== Role.prefill);
  return {
    prefill: preferred(prefill, ask.excluded).map(view),
    decode: preferred(decode, ask.excluded).map(view),
  };
}

/** Those where the request has not failed yet; failing that, all. */
function preferred(
  rows: readonly Row[],
  excluded: readonly UpstreamId[],
): readonly Row[] {
  const open = rows.filter((row) => !excluded.includes(row.upstream.id));
  return open.length > 0 ? open : rows;
}

function candidate(row: Row, ask: PlanAsk): Candidate {
  const { upstream, held, decoding } = row;
  const rate = Math.max(1, upstream.prefillRate);
  return {
    upstream,
    queueTokens: row.queueTokens,
    cachedTokens: cachedTokens(upstream, ask.prefixes),
    rate,
    held,
    decoding,
    slots: slotsWithin(upstream, ask.betweenTokensMs),
    stepMs: stepWith(upstream, decoding + 1),
    transferTokens: row.transferTokens,
    victimAgeMs: row.victimAgeMs,
  };
}

/** Requests that the upstream can decode at once within a step time. */
export function slotsWithin(
  upstream: Upstream,
  betweenMs: Milliseconds,
): number {
  const line = stepLine(upstream);
  if (!line) return upstream.slots;
  const fitting = (betweenMs * STEP_SHARE - line.base) / line.slope;
  return Math.max(1, Math.min(upstream.slots, Math.floor(fitting)));
}

function stepWith(upstream: Upstream, running: number): Milliseconds {
  const line = stepLine(upstream);
  if (line) return line.base + line.slope * running;
  return upstream.report?.stepMs || FIRST_STEP_MS;
}
