/** The engine's decode side: slots, fetched caches, steps and streams. */
import murmurhash from "murmurhash";
import { type DecodeJob, type Engine, type Job, noteStart } from "./model.ts";

/** How long an ended stream can still be resumed. */
const FINISHED_MS = 3000;

/** Queues a decode whose cache is at another engine. */
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

/** Queues a decode whose prefill was done here. */
export function acceptLocal(engine: Engine, job: Job, now: number): void {
  engine.decodeQueue.push({ job, produced: 0, sent: 0 });
  fillSlots(engine, now);
}

/** Gives free slots to waiting decodes. */
export function fillSlots(engine: Engine, now: number): void {
  while (engine.decodeQueue.length > 0) {
    const taken = engine.running.size + engine.fetching.size;
    if (taken >= engine.parameters.slots) return;
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

/** The cache has come, or can't come. */
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

/** Starts the next step of the batch, if there is one. */
export function startStep(engine: Engine, now: number): void {
  if (engine.running.size === 0) {
    engine.stepEndsAt = Infinity;
    return;
  }
  const { stepBaseMs, stepPerRequestMs, stepBesidePrefill } = engine.parameters;
  const beside = engine.prefillNow ? stepBesidePrefill : 1;
  const plain = stepBaseMs + stepPerRequestMs * engine.running.size;
  engine.stepMs = plain * beside * engine.slowdown;
  engine.stepEndsAt = now + engine.stepMs;
}

/** Ends a step: every running request has one more token. */
export function endStep(engine: Engine, now: number): void {
  for (const decode of engine.running.values()) {
    decode.produced += 1;
    const last = decode.produced >= decode.job.outputTokens;
    const due = decode.produced === 1 || last ||
      decode.produced - decode.sent >= engine.parameters.chunkTokens;
    if (due) sendTokens(engine, decode, decode.sent);
    if (!last) continue;
    engine.running.delete(decode.job.attempt);
    const until = now + FINISHED_MS;
    engine.finished.set(decode.job.attempt, { ...decode, until });
  }
  fillSlots(engine, now);
  startStep(engine, now);
  forgetFinished(engine, now);
}

function forgetFinished(engine: Engine, now: number): void {
  for (const [attempt, decode] of engine.finished) {
    if (now < decode.until) return;
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

/** The answer's words: they name their own prompt, place and attempt. */
export function answerText(
  job: Pick<Job, "attempt" | "text">,
  from: number,
  tokens: number,
): string {
  const mark = murmurhash.v3(job.attempt).toString(36);
  const words: string[] = [];
  for (let place = from; place < from + tokens; place += 1) {
    words.push(`${job.text}.${place}~${mark} `);
  }
  return words.join("");
}

/** Sends again what a broken stream has lost; false when it's not here. */
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

/** Takes an attempt out of the decode side; true when it was there. */
export function cancelDecode(
  engine: Engine,
  attempt: string,
  now: number,
): boolean {
  const queued = engine.decodeQueue.findIndex((one) =>
    one.job.attempt === attempt
  );
  if (queued >= 0) engine.decodeQueue.splice(queued, 1);
  const fetched = engine.fetching.delete(attempt);
  const ran = engine.running.delete(attempt);
  fillSlots(engine, now);
  return queued >= 0 || fetched || ran;
}
