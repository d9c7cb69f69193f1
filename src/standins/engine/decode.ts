/** Decode part of the engine stand-in: slots, KV cache fetches and steps. */
import murmurhash from "murmurhash";
import { type DecodeJob, type Engine, type Job, noteStart } from "./model.ts";

/** How long a finished stream can still be resumed. */
const RESUME_WINDOW_MS = 3000;

/** Queues a decode whose KV cache is fetched from another engine. */
export function acceptDecode(
  engine: Engine,
  job: Job,
  source: { readonly engine: string; readonly exportOf: string },
  now: number,
): void {
  noteStart(engine, job.attempt);
  engine.decodeQueue.push({ job, source, produced: 0, sent: 0 });
  fillSlots(engine, now);
}

/** Queues a decode whose prefill ran on this engine. */
export function acceptLocalDecode(engine: Engine, job: Job, now: number): void {
  engine.decodeQueue.push({ job, produced: 0, sent: 0 });
  fillSlots(engine, now);
}

/** Starts queued decodes while slots are free. */
export function fillSlots(engine: Engine, now: number): void {
  while (engine.decodeQueue.length > 0) {
    const usedSlots = engine.running.size + engine.fetching.size;
    if (usedSlots >= engine.parameters.slots) return;
    const next = engine.decodeQueue.shift();
    if (!next) return;
    if (next.source) startFetch(engine, next, next.source);
    else startDecode(engine, next, now);
  }
}

function startFetch(
  engine: Engine,
  decode: DecodeJob,
  source: { readonly engine: string; readonly exportOf: string },
): void {
  const { attempt } = decode.job;
  engine.fetching.set(attempt, decode);
  engine.outputs.push({ type: "fetch", attempt, ...source });
}

/** Handles the end of a KV cache fetch, successful or failed. */
export function endFetch(
  engine: Engine,
  attempt: string,
  ok: boolean,
  now: number,
): void {
  const decode = engine.fetching.get(attempt);
  if (!decode) return;
  engine.fetching.delete(attempt);
  if (ok) startDecode(engine, decode, now);
  else engine.outputs.push({ type: "failed", attempt });
  fillSlots(engine, now);
}

function startDecode(engine: Engine, decode: DecodeJob, now: number): void {
  engine.running.set(decode.job.attempt, decode);
  if (engine.stepEndsAt === Infinity) startStep(engine, now);
}

/** Starts the next decode step when the batch is not empty. */
export function startStep(engine: Engine, now: number): void {
  if (engine.running.size === 0) {
    engine.stepEndsAt = Infinity;
    return;
  }
  const { stepBaseMs, stepPerRequestMs, stepBesidePrefill } = engine.parameters;
  const prefillFactor = engine.runningPrefill ? stepBesidePrefill : 1;
  const batchMs = stepBaseMs + stepPerRequestMs * engine.running.size;
  engine.stepMs = batchMs * prefillFactor * engine.slowdown;
  engine.stepEndsAt = now + engine.stepMs;
}

/** Ends a step: each running request produces one token. */
export function endStep(engine: Engine, now: number): void {
  for (const decode of engine.running.values()) {
    decode.produced += 1;
    const last = decode.produced >= decode.job.outputTokens;
    const due = decode.produced === 1 || last ||
      decode.produced - decode.sent >= engine.parameters.chunkTokens;
    if (due) sendTokens(engine, decode, decode.sent);
    if (!last) continue;
    engine.running.delete(decode.job.attempt);
    const expiresAt = now + RESUME_WINDOW_MS;
    engine.finished.set(decode.job.attempt, { ...decode, expiresAt });
  }
  fillSlots(engine, now);
  startStep(engine, now);
  expireFinished(engine, now);
}

function expireFinished(engine: Engine, now: number): void {
  for (const [attempt, decode] of engine.finished) {
    if (now < decode.expiresAt) return;
    engine.finished.delete(attempt);
  }
}

function sendTokens(engine: Engine, decode: DecodeJob, from: number): void {
  const tokens = decode.produced - from;
  decode.sent = decode.produced;
  engine.outputs.push({
    type: "chunk",
    attempt: decode.job.attempt,
    index: from,
    tokens,
    text: answerText(decode.job, from, tokens),
    last: decode.produced >= decode.job.outputTokens,
  });
}

/**
 * Generates response text in which each word names its prompt, position and
 * attempt, so that a mixed-up response can be detected.
 */
export function answerText(
  job: Pick<Job, "attempt" | "text">,
  from: number,
  tokens: number,
): string {
  const attemptHash = murmurhash.v3(job.attempt).toString(36);
  const words: string[] = [];
  for (
    let position = from;
    position < from + tokens;
    position += 1
  ) {
    words.push(`${job.text}.${position}~${attemptHash} `);
  }
  return words.join("");
}

/**
 * Resends the tokens after the first `after`; returns false when the attempt
 * is unknown.
 */
export function resumeDecode(
  engine: Engine,
  attempt: string,
  after: number,
): boolean {
  const decode = engine.running.get(attempt) ?? engine.finished.get(attempt);
  if (!decode) return false;
  if (decode.produced > after) sendTokens(engine, decode, after);
  return true;
}

/** Cancels an attempt's decode; returns true when there was one. */
export function cancelDecode(
  engine: Engine,
  attempt: string,
  now: number,
): boolean {
  const queued = engine.decodeQueue.findIndex((decode) =>
    decode.job.attempt === attempt
  );
  if (queued >= 0) engine.decodeQueue.splice(queued, 1);
  const wasFetching = engine.fetching.delete(attempt);
  const wasRunning = engine.running.delete(attempt);
  fillSlots(engine, now);
  return queued >= 0 || wasFetching || wasRunning;
}
