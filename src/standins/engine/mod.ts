/** Public interface of the engine stand-in's model. */
import { cancelDecode, endStep } from "./decode.ts";
import type { Engine, LoadReport, Output } from "./model.ts";
import { cancelPrefill, endPrefill, endTransfers } from "./prefill.ts";
import { expireExports } from "./prefill.ts";

export * from "./model.ts";
export { acceptDecode, answerText, endFetch, resumeDecode } from "./decode.ts";
export { acceptLocalPrefill, acceptPrefill, sendExport } from "./prefill.ts";
export { hitBlocks, storeBlocks } from "./cache.ts";

/** Minimum interval between snapshots of the load. */
const SNAPSHOT_INTERVAL_MS = 50;

/** Returns the time of the engine's next internal event. */
export function nextEventAt(engine: Engine): number {
  const prefill = engine.runningPrefill?.endsAt ?? Infinity;
  const transfer = engine.transfers[0]?.endsAt ?? Infinity;
  return Math.min(prefill, transfer, engine.stepEndsAt);
}

/** Runs the engine up to `now` and returns its outputs. */
export function advance(engine: Engine, now: number): Output[] {
  for (let at = nextEventAt(engine); at <= now; at = nextEventAt(engine)) {
    if ((engine.runningPrefill?.endsAt ?? Infinity) <= at) {
      endPrefill(engine, at);
    }
    if ((engine.transfers[0]?.endsAt ?? Infinity) <= at) {
      endTransfers(engine, at);
    }
    if (engine.stepEndsAt <= at) endStep(engine, at);
  }
  expireExports(engine, now);
  return drainOutputs(engine);
}

/** Returns the outputs since the last call and clears them. */
export function drainOutputs(engine: Engine): Output[] {
  const outputs = engine.outputs;
  engine.outputs = [];
  return outputs;
}

/** Frees an attempt's resources; returns false when it had none. */
export function cancel(engine: Engine, attempt: string, now: number): boolean {
  const prefill = cancelPrefill(engine, attempt, now);
  const decode = cancelDecode(engine, attempt, now);
  return prefill || decode;
}

/** Lists the attempts that use memory of this engine. */
export function heldAttempts(engine: Engine): string[] {
  const attempts = [
    ...engine.prefillQueue.map((work) => work.job.attempt),
    ...engine.exports.keys(),
    ...engine.decodeQueue.map((decode) => decode.job.attempt),
    ...engine.fetching.keys(),
    ...engine.running.keys(),
  ];
  const running = engine.runningPrefill?.work.job.attempt;
  if (running !== undefined) attempts.push(running);
  return attempts;
}

/** Returns the load report, delayed by `reportLagMs`. */
export function loadReport(engine: Engine, now: number): LoadReport {
  const current = currentLoad(engine);
  const { snapshots } = engine;
  const newest = snapshots.at(-1);
  if (!newest || now - newest.at >= SNAPSHOT_INTERVAL_MS) {
    snapshots.push({ at: now, report: current });
  }
  const reportedAt = now - engine.parameters.reportLagMs;
  while ((snapshots[1]?.at ?? Infinity) <= reportedAt) snapshots.shift();
  return snapshots[0]?.report ?? current;
}

function currentLoad(engine: Engine): LoadReport {
  const prefillQueueTokens = engine.prefillQueue
    .reduce((sum, work) => sum + work.job.promptTokens, 0);
  const { parameters, slowdown } = engine;
  return {
    running: engine.running.size,
    slots: parameters.slots,
    prefillQueueTokens,
    prefillRate: parameters.prefillRate / slowdown,
    stepMs: engine.running.size === 0 ? 0 : engine.stepMs,
    draining: engine.draining,
    ...(engine.role === undefined ? {} : { role: engine.role }),
    epoch: engine.epoch,
  };
}

/** Returns the cache events after a sequence number. */
export function cacheEvents(
  engine: Engine,
  after: number,
): { readonly from: number; readonly events: Engine["cache"]["events"] } {
  const { events, firstSequence } = engine.cache;
  const from = Math.max(after + 1, firstSequence);
  return { from, events: events.slice(from - firstSequence) };
}
