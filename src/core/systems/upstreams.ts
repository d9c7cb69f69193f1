/** Reads upstreams' reports and cache events, and judges what may get work. */
import type { Event, LoadReport } from "../events.ts";
import type { UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Mechanism } from "../options.ts";
import { Role, type Upstream } from "../tables/upstreams.ts";
import {
  addSample,
  computeLine,
  createLineFit,
  type Line,
} from "../../util/line_fit.ts";
import { count, enabled, log, order, type World } from "../world.ts";
import { plannerOf } from "./membership.ts";

/** Tokens covered by one prefix hash. */
export const BLOCK_TOKENS = 256;
/** Part of the old samples that stays in the fit of step times. */
const FIT_MEMORY = 0.97;
/** Trust left after a gap in the cache events. */
const TRUST_AFTER_GAP = 0.8;
/** Trust regained with each clean page of cache events. */
const TRUST_REGAINED = 0.05;

/** Whether an upstream may get new work. */
export function accepting(world: World, id: UpstreamId): boolean {
  const upstream = world.upstreams.get(id);
  if (!upstream) return false;
  if (!enabled(world, Mechanism.drain)) return true;
  if (upstream.leaving || world.settings.stops.has(id)) return false;
  return upstream.report?.draining !== true;
}

/** Reads reports and cache events of the upstreams that this host plans. */
export function pollUpstreams(world: World, now: Milliseconds): void {
  for (const upstream of world.upstreams.values()) {
    if (now < upstream.nextLoadAt && now < upstream.nextCacheAt) continue;
    if (upstream.region !== world.self.region) continue;
    if (plannerOf(world, upstream.pool, now) !== world.self.id) continue;
    pollUpstream(world, upstream, now);
  }
}

function pollUpstream(
  world: World,
  upstream: Upstream,
  now: Milliseconds,
): void {
  if (now >= upstream.nextLoadAt) {
    const { loadPollMs } = world.options;
    const anew = now - upstream.polledAt > 2 * loadPollMs;
    if (anew) upstream.pollingSince = now;
    upstream.polledAt = now;
    upstream.nextLoadAt = now + loadPollMs;
    order(world, { type: "readLoad", upstream: upstream.id });
  }
  const caches = upstream.role !== Role.plain;
  if (caches && now >= upstream.nextCacheAt) {
    upstream.nextCacheAt = now + world.options.cachePollMs;
    const after = upstream.cacheSequence;
    order(world, { type: "readCache", upstream: upstream.id, after });
  }
}

/** An upstream that did not answer gets no work until it reports again. */
export function suspectUpstream(
  world: World,
  id: UpstreamId,
  now: Milliseconds,
): void {
  const upstream = world.upstreams.get(id);
  if (!upstream) return;
  upstream.reportedAt = -Infinity;
  upstream.pollingSince = now;
  upstream.nextLoadAt = now;
}

/** Takes a load report. */
export function takeLoadReport(
  world: World,
  id: UpstreamId,
  report: LoadReport,
  now: Milliseconds,
): void {
  const upstream = world.upstreams.get(id);
  if (!upstream) return;
  const restarted = upstream.report !== undefined &&
    upstream.report.epoch !== report.epoch;
  if (restarted) forgetState(world, upstream);
  upstream.report = report;
  upstream.reportedAt = now;
  if (report.role === Role.prefill || report.role === Role.decode) {
    upstream.role = report.role;
  }
  if (report.slots > 0) upstream.slots = report.slots;
  if (report.prefillRate > 0) upstream.prefillRate = report.prefillRate;
  if (report.stepMs > 0) {
    const sample = { x: report.running, y: report.stepMs };
    addSample(upstream.step, sample, FIT_MEMORY);
  }
}

/** A restarted engine holds and caches nothing. */
function forgetState(world: World, upstream: Upstream): void {
  upstream.prefixes.clear();
  upstream.cacheSequence = 0;
  upstream.step = createLineFit();
  log(world, {
    part: "upstreams",
    sentence: "An upstream has restarted",
    fields: { upstream: upstream.id },
  });
}

/** The line through an upstream's step times; undefined without spread. */
export function stepLine(upstream: Upstream): Line | undefined {
  return computeLine(upstream.step);
}

/** A page of cache events. */
export type CachePage = Extract<Event, { type: "cacheEvents" }>;

/** Takes a page of cache events; a gap lowers the trust in the index. */
export function takeCacheEvents(
  world: World,
  page: CachePage,
  now: Milliseconds,
): void {
  const { from, events } = page;
  const upstream = world.upstreams.get(page.upstream);
  if (!upstream || events.length === 0) return;
  if (from > upstream.cacheSequence + 1) noteGap(world, upstream);
  else regainTrust(upstream);
  let sequence = from - 1;
  for (const event of events) {
    sequence += 1;
    if (sequence <= upstream.cacheSequence) continue;
    if (event.stored) noteStored(upstream, event.hash, now);
    else upstream.prefixes.delete(event.hash);
  }
  upstream.cacheSequence = Math.max(sequence, upstream.cacheSequence);
}

/** A block that was expected keeps its place in the order of use. */
function noteStored(
  upstream: Upstream,
  hash: number,
  now: Milliseconds,
): void {
  if (!upstream.prefixes.has(hash)) upstream.prefixes.set(hash, now);
}

/** Blocks that the upstream's cache holds. */
function cacheBlocks(upstream: Upstream): number {
  return upstream.cacheTokens / BLOCK_TOKENS;
}

/** For how long the block to be evicted next has not been used. */
export function victimAge(upstream: Upstream, now: Milliseconds): Milliseconds {
  const full = upstream.prefixes.size >= cacheBlocks(upstream);
  if (!full) return Infinity;
  const oldest = upstream.prefixes.values().next().value;
  return oldest === undefined ? Infinity : now - oldest;
}

function noteGap(world: World, upstream: Upstream): void {
  upstream.cacheTrust *= TRUST_AFTER_GAP;
  count(world, "cache_gaps");
}

function regainTrust(upstream: Upstream): void {
  upstream.cacheTrust = Math.min(1, upstream.cacheTrust + TRUST_REGAINED);
}

/** Notes that a prompt's blocks will be in the upstream's cache. */
export function expectCached(
  upstream: Upstream,
  prefixes: readonly number[],
  now: Milliseconds,
): void {
  for (const hash of [...prefixes].reverse()) {
    upstream.prefixes.delete(hash);
    upstream.prefixes.set(hash, now);
  }
  const most = cacheBlocks(upstream);
  for (const hash of upstream.prefixes.keys()) {
    if (upstream.prefixes.size <= most) return;
    upstream.prefixes.delete(hash);
  }
}

/** Prompt tokens thought to be in the upstream's cache. */
export function cachedTokens(
  upstream: Upstream,
  prefixes: readonly number[],
): number {
  let blocks = 0;
  for (const hash of prefixes) {
    if (!upstream.prefixes.has(hash)) break;
    blocks += 1;
  }
  return blocks * BLOCK_TOKENS * upstream.cacheTrust;
}
