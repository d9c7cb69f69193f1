/** The engine stand-in: what a caller of it, or a test, needs. */
import { cancelDecode, endStep } from "./decode.ts";
import type { Engine, Output, Report } from "./model.ts";
import { cancelPrefill, endPrefill, endTransfers } from "./prefill.ts";
import { expireExports } from "./prefill.ts";

export * from "./model.ts";
export { acceptDecode, answerText, endFetch, resumeDecode } from "./decode.ts";
export { acceptPrefill, acceptWhole, sendExport } from "./prefill.ts";
export { hitBlocks, storeBlocks } from "./cache.ts";

/** Snapshots of the load are taken this often. */
const SNAPSHOT_MS = 50;

/** When something next happens inside the engine by itself. */
export function nextAt(engine: Engine): number {
  const prefill = engine.prefillNow?.endsAt ?? Infinity;
  const transfer = engine.transfers[0]?.endsAt ?? Infinity;
  return Math.min(prefill, transfer, engine.stepEndsAt);
}

/** Runs the engine up to a time and gives what it made happen. */
export function advance(engine: Engine, now: number): Output[] {
  for (let at = nextAt(engine); at <= now; at = nextAt(engine)) {
    if ((engine.prefillNow?.endsAt ?? Infinity) <= at) endPrefill(engine, at);
    if ((engine.transfers[0]?.endsAt ?? Infinity) <= at) {
      endTransfers(engine, at);
    }
    if (engine.stepEndsAt <= at) endStep(engine, at);
  }
  expireExports(engine, now);
  return takeOutputs(engine);
}

/** What the engine has made happen since it was last asked. */
export function takeOutputs(engine: Engine): Output[] {
  const outputs = engine.outputs;
  engine.outputs = [];
  return outputs;
}

/** Frees all that an attempt holds; false when it held nothing. */
export function cancel(engine: Engine, attempt: string, now: number): boolean {
  const prefill = cancelPrefill(engine, attempt, now);
  const decode = cancelDecode(engine, attempt, now);
  return prefill || decode;
}

/** Every attempt that holds memory here. */
export function held(engine: Engine): string[] {
  const attempts = [
    ...engine.prefillQueue.map((one) => one.job.attempt),
    ...engine.exports.keys(),
    ...engine.decodeQueue.map((one) => one.job.attempt),
    ...engine.fetching.keys(),
    ...engine.running.keys(),
  ];
  const running = engine.prefillNow?.work.job.attempt;
  if (running !== undefined) attempts.push(running);
  return attempts;
}

/** The load report, as old as the lag says. */
export function load(engine: Engine, now: number): Report {
  const current = currentLoad(engine);
  const { snapshots } = engine;
  const newest = snapshots.at(-1);
  if (!newest || now - newest.at >= SNAPSHOT_MS) {
    snapshots.push({ at: now, report: current });
  }
  const since = now - engine.parameters.reportLagMs;
  while ((snapshots[1]?.at ?? Infinity) <= since) snapshots.shift();
  return snapshots[0]?.report ?? current;
}

function currentLoad(engine: Engine): Report {
  const waiting = engine.prefillQueue
    .reduce((sum, one) => sum + one.job.promptTokens, 0);
  const { parameters, slowdown } = engine;
  return {
    running: engine.running.size,
    slots: parameters.slots,
    prefillQueueTokens: waiting,
    prefillRate: parameters.prefillRate / slowdown,
    stepMs: engine.running.size === 0 ? 0 : engine.stepMs,
    draining: engine.draining,
    ...(engine.role === undefined ? {} : { role: engine.role }),
    epoch: engine.epoch,
  };
}

/** Cache events after a sequence number. */
export function cacheEvents(
  engine: Engine,
  after: number,
): { readonly from: number; readonly events: Engine["cache"]["events"] } {
  const { events, firstSequence } = engine.cache;
  const from = Math.max(after + 1, firstSequence);
  return { from, events: events.slice(from - firstSequence) };
}
