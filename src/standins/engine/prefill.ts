/** The engine's prefill side: queue, worker, exports and the link. */
import { hitBlocks, storeBlocks } from "./cache.ts";
import { acceptLocal } from "./decode.ts";
import {
  type Engine,
  type Job,
  type KeptExport,
  noteStart,
  type PrefillJob,
} from "./model.ts";

/** Shortest prefill: one pass over the model. */
const LEAST_PREFILL_MS = 8;

/** Queues a prefill whose cache another engine will fetch. */
export function acceptPrefill(engine: Engine, job: Job, now: number): void {
  noteStart(engine, job.attempt);
  enqueue(engine, { job, local: false, cachedTokens: 0 }, now);
}

/** Queues a prefill that goes on to decode here. */
export function acceptWhole(engine: Engine, job: Job, now: number): void {
  noteStart(engine, job.attempt);
  enqueue(engine, { job, local: true, cachedTokens: 0 }, now);
}

function enqueue(engine: Engine, work: PrefillJob, now: number): void {
  const queue = engine.prefillQueue;
  const later = queue.findIndex((one) => one.job.priority < work.job.priority);
  queue.splice(later < 0 ? queue.length : later, 0, work);
  startPrefill(engine, now);
}

/** Starts the next prefill when the worker is free. */
export function startPrefill(engine: Engine, now: number): void {
  if (engine.prefillNow) return;
  const work = engine.prefillQueue.shift();
  if (!work) return;
  const { parameters, cache } = engine;
  const hits = hitBlocks(cache, work.job.prefixes) * parameters.blockTokens;
  work.cachedTokens = Math.min(hits, work.job.promptTokens - 1);
  const cold = work.job.promptTokens - work.cachedTokens;
  const workMs = cold / parameters.prefillRate * 1000 * engine.slowdown;
  const endsAt = now + Math.max(LEAST_PREFILL_MS, workMs);
  engine.prefillNow = { work, endsAt };
}

/** Ends the running prefill. */
export function endPrefill(engine: Engine, now: number): void {
  const done = engine.prefillNow;
  if (!done) return;
  engine.prefillNow = null;
  const { job, local, cachedTokens } = done.work;
  const { record } = engine;
  storeBlocks(engine.cache, job.prefixes);
  record.prefilledTokens += job.promptTokens - cachedTokens;
  record.hitTokens += cachedTokens;
  record.promptTokens += job.promptTokens;
  if (local) acceptLocal(engine, job, now);
  else keepExport(engine, job, cachedTokens, now);
  startPrefill(engine, now);
}

function keepExport(
  engine: Engine,
  job: Job,
  cachedTokens: number,
  now: number,
): void {
  engine.exports.set(job.attempt, {
    attempt: job.attempt,
    tokens: job.promptTokens,
    computed: job.promptTokens - cachedTokens,
    until: now + engine.parameters.exportMs,
    fetching: false,
  });
  const { attempt, promptTokens } = job;
  engine.outputs.push({
    type: "prefilled",
    attempt,
    cachedTokens,
    computedTokens: promptTokens - cachedTokens,
  });
}

/** Starts the transfer of an export to another engine. */
export function sendExport(
  engine: Engine,
  exportOf: string,
  to: { readonly engine: string; readonly attempt: string },
  now: number,
): void {
  const kept = engine.exports.get(exportOf);
  if (kept?.fetching) dropTransfer(engine, exportOf);
  if (!kept) {
    const { attempt } = to;
    const answer = { type: "fetched", to: to.engine, attempt } as const;
    engine.outputs.push({ ...answer, ok: false });
    return;
  }
  kept.fetching = true;
  const startsAt = Math.max(now, engine.linkFreeAt, engine.stalledUntil);
  const spanMs = kept.tokens * engine.parameters.transferMsPerToken;
  const endsAt = startsAt + spanMs;
  engine.linkFreeAt = endsAt;
  engine.transfers.push({
    exportOf,
    to: to.engine,
    attempt: to.attempt,
    endsAt,
  });
}

/** Ends transfers that are due and frees their exports. */
export function endTransfers(engine: Engine, now: number): void {
  while ((engine.transfers[0]?.endsAt ?? Infinity) <= now) {
    const done = engine.transfers.shift();
    if (!done) return;
    const ok = engine.exports.delete(done.exportOf);
    const { to, attempt } = done;
    engine.outputs.push({ type: "fetched", to, attempt, ok });
  }
}

/** Throws away exports that nobody fetched in time. */
export function expireExports(engine: Engine, now: number): void {
  for (const kept of engine.exports.values()) {
    if (kept.fetching || now < kept.until) continue;
    engine.exports.delete(kept.attempt);
    engine.record.thrownTokens += kept.computed;
  }
}

/** Takes an attempt out of the prefill side; true when it was there. */
export function cancelPrefill(
  engine: Engine,
  attempt: string,
  now: number,
): boolean {
  const queued = engine.prefillQueue.findIndex((one) =>
    one.job.attempt === attempt
  );
  if (queued >= 0) engine.prefillQueue.splice(queued, 1);
  const kept = engine.exports.get(attempt);
  if (kept) cancelExport(engine, kept);
  const running = engine.prefillNow?.work.job.attempt === attempt;
  if (running) {
    engine.record.thrownTokens += spentTokens(engine, now);
    engine.prefillNow = null;
    startPrefill(engine, now);
  }
  return queued >= 0 || kept !== undefined || running;
}

function cancelExport(engine: Engine, kept: KeptExport): void {
  engine.exports.delete(kept.attempt);
  engine.record.thrownTokens += kept.computed;
  dropTransfer(engine, kept.attempt);
}

/** A transfer that nobody waits for any more. */
function dropTransfer(engine: Engine, exportOf: string): void {
  const place = engine.transfers.findIndex((one) => one.exportOf === exportOf);
  if (place >= 0) engine.transfers.splice(place, 1);
}

function spentTokens(engine: Engine, now: number): number {
  const running = engine.prefillNow;
  if (!running) return 0;
  const { job, cachedTokens } = running.work;
  const leftMs = Math.max(0, running.endsAt - now);
  const left = leftMs / 1000 * engine.parameters.prefillRate /
    engine.slowdown;
  return Math.max(0, job.promptTokens - cachedTokens - left);
}
