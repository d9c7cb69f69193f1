/** Prefill part of the engine stand-in: queue, worker, exports and link. */
import { hitBlocks, storeBlocks } from "./cache.ts";
import { acceptLocalDecode } from "./decode.ts";
import {
  type Engine,
  type Job,
  noteStart,
  type PrefillJob,
  type RetainedExport,
} from "./model.ts";

/** Minimum duration of a prefill, one pass over the model. */
const MIN_PREFILL_MS = 8;

/** Queues a prefill whose KV cache another engine fetches. */
export function acceptPrefill(engine: Engine, job: Job, now: number): void {
  noteStart(engine, job.attempt);
  enqueue(engine, { job, local: false, cachedTokens: 0 }, now);
}

/** Queues a prefill whose decode runs on this engine too. */
export function acceptLocalPrefill(
  engine: Engine,
  job: Job,
  now: number,
): void {
  noteStart(engine, job.attempt);
  enqueue(engine, { job, local: true, cachedTokens: 0 }, now);
}

function enqueue(engine: Engine, work: PrefillJob, now: number): void {
  const queue = engine.prefillQueue;
  const next = queue.findIndex((queued) =>
    queued.job.priority < work.job.priority
  );
  queue.splice(next < 0 ? queue.length : next, 0, work);
  startPrefill(engine, now);
}

/** Starts the next prefill when the worker is free. */
export function startPrefill(engine: Engine, now: number): void {
  if (engine.runningPrefill) return;
  const work = engine.prefillQueue.shift();
  if (!work) return;
  const { parameters, cache } = engine;
  const hits = hitBlocks(cache, work.job.prefixes) * parameters.blockTokens;
  work.cachedTokens = Math.min(hits, work.job.promptTokens - 1);
  const uncachedTokens = work.job.promptTokens - work.cachedTokens;
  const workMs = uncachedTokens / parameters.prefillRate * 1000 *
    engine.slowdown;
  const endsAt = now + Math.max(MIN_PREFILL_MS, workMs);
  engine.runningPrefill = { work, endsAt };
}

/** Ends the running prefill and starts the next one. */
export function endPrefill(engine: Engine, now: number): void {
  const finished = engine.runningPrefill;
  if (!finished) return;
  engine.runningPrefill = null;
  const { job, local, cachedTokens } = finished.work;
  const { record } = engine;
  storeBlocks(engine.cache, job.prefixes);
  record.prefilledTokens += job.promptTokens - cachedTokens;
  record.hitTokens += cachedTokens;
  record.promptTokens += job.promptTokens;
  if (local) acceptLocalDecode(engine, job, now);
  else retainExport(engine, job, cachedTokens, now);
  startPrefill(engine, now);
}

function retainExport(
  engine: Engine,
  job: Job,
  cachedTokens: number,
  now: number,
): void {
  engine.exports.set(job.attempt, {
    attempt: job.attempt,
    tokens: job.promptTokens,
    computedTokens: job.promptTokens - cachedTokens,
    expiresAt: now + engine.parameters.exportMs,
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
  const retained = engine.exports.get(exportOf);
  if (retained?.fetching) removeTransfer(engine, exportOf);
  if (!retained) {
    const { attempt } = to;
    const output = { type: "fetched", to: to.engine, attempt } as const;
    engine.outputs.push({ ...output, ok: false });
    return;
  }
  retained.fetching = true;
  const startsAt = Math.max(now, engine.linkFreeAt, engine.stalledUntil);
  const transferMs = retained.tokens * engine.parameters.transferMsPerToken;
  const endsAt = startsAt + transferMs;
  engine.linkFreeAt = endsAt;
  engine.transfers.push({
    exportOf,
    to: to.engine,
    attempt: to.attempt,
    endsAt,
  });
}

/** Ends the transfers that are due and frees their exports. */
export function endTransfers(engine: Engine, now: number): void {
  while ((engine.transfers[0]?.endsAt ?? Infinity) <= now) {
    const finished = engine.transfers.shift();
    if (!finished) return;
    const ok = engine.exports.delete(finished.exportOf);
    const { to, attempt } = finished;
    engine.outputs.push({ type: "fetched", to, attempt, ok });
  }
}

/** Removes exports that were not fetched within their TTL. */
export function expireExports(engine: Engine, now: number): void {
  for (const retained of engine.exports.values()) {
    if (retained.fetching || now < retained.expiresAt) continue;
    engine.exports.delete(retained.attempt);
    engine.record.wastedTokens += retained.computedTokens;
  }
}

/** Cancels an attempt's prefill or export; returns true when it had one. */
export function cancelPrefill(
  engine: Engine,
  attempt: string,
  now: number,
): boolean {
  const queued = engine.prefillQueue.findIndex((work) =>
    work.job.attempt === attempt
  );
  if (queued >= 0) engine.prefillQueue.splice(queued, 1);
  const retained = engine.exports.get(attempt);
  if (retained) cancelExport(engine, retained);
  const running = engine.runningPrefill?.work.job.attempt === attempt;
  if (running) {
    engine.record.wastedTokens += interruptedTokens(engine, now);
    engine.runningPrefill = null;
    startPrefill(engine, now);
  }
  return queued >= 0 || retained !== undefined || running;
}

function cancelExport(engine: Engine, retained: RetainedExport): void {
  engine.exports.delete(retained.attempt);
  engine.record.wastedTokens += retained.computedTokens;
  removeTransfer(engine, retained.attempt);
}

/** Removes the transfer of an export whose recipient no longer waits. */
function removeTransfer(engine: Engine, exportOf: string): void {
  const index = engine.transfers.findIndex((transfer) =>
    transfer.exportOf === exportOf
  );
  if (index >= 0) engine.transfers.splice(index, 1);
}

/** Returns the tokens that the running prefill has computed so far. */
function interruptedTokens(engine: Engine, now: number): number {
  const running = engine.runningPrefill;
  if (!running) return 0;
  const { job, cachedTokens } = running.work;
  const leftMs = Math.max(0, running.endsAt - now);
  const leftTokens = leftMs / 1000 * engine.parameters.prefillRate /
    engine.slowdown;
  return Math.max(0, job.promptTokens - cachedTokens - leftTokens);
}
