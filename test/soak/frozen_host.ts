/**
 * Streams of two software versions that are taken up at a host as it goes on
 * after it stood still while the second version joined.
 */
import { Agent } from "node:http";
import { attemptStream } from "./attempt_stream.ts";
import { CallKind, callOnce, type CallResult } from "./call.ts";
import type { FleetHost } from "./fleet.ts";
import { findResumption } from "./resumptions.ts";
import { sleep } from "./sleep.ts";
import type { TestFleet } from "./test_fleet.ts";

const NEXT_SOFTWARE_VERSION = "next";
/** Within this time hosts have listed a version. */
const LISTED_MS = 1500;
const STREAM_INTERVAL_MS = 10;
/** Streams run for four seconds. */
const SLOWDOWN = 5;
/** From the start of the last stream until the callers' connections break. */
const RUNNING_MS = 900;

/** A caller tries again where its connection was closed unread. */
const MAX_RETRIES = 3;
const RETRY_PAUSE_MS = 100;

/** Returns all attempts of the streams, which break once at their callers. */
export async function resumeAtFrozenHost(
  { world, hosts }: TestFleet,
  { streams, frozenMs, resumeIntervalMs = 0 }: {
    readonly streams: number;
    readonly frozenMs: number;
    /** Between two resumptions. */
    readonly resumeIntervalMs?: number;
  },
): Promise<CallResult[]> {
  const [late, ...others] = hosts;
  if (!late) return [];
  late.process.pause();
  const frozenAt = performance.now();
  await world.addEngine(NEXT_SOFTWARE_VERSION);
  for (const { standin } of world.replicas) standin.slowdown = SLOWDOWN;
  await sleep(LISTED_MS);
  const begun: { agent: Agent; result: Promise<CallResult> }[] = [];
  for (let at = 0; at < streams; at++) {
    const host = others[at % others.length];
    if (host) begun.push(beginStream(host, `stream-${at}`));
    await sleep(STREAM_INTERVAL_MS);
  }
  const leftMs = frozenAt + frozenMs - performance.now();
  await sleep(Math.max(RUNNING_MS, leftMs));
  for (const { agent } of begun) agent.destroy();
  const broken = await Promise.all(begun.map(({ result }) => result));
  const resumed = broken.map((attempt, at) =>
    resume(late, attempt, at * resumeIntervalMs)
  );
  late.process.resume();
  return [...broken, ...(await Promise.all(resumed)).flat()];
}

/** Resumes a stream, again while its connection is closed without a response. */
async function resume(
  host: FleetHost,
  broken: CallResult,
  delayMs: number,
): Promise<CallResult[]> {
  const resumption = findResumption(broken);
  if (!resumption) return [];
  await sleep(delayMs);
  for (let count = 0;; count++) {
    const id = `${broken.id}-${count}`;
    const attempt = await attemptStream(host, { id, resumption });
    if (attempt.status !== 0 || count >= MAX_RETRIES) return [attempt];
    await sleep(RETRY_PAUSE_MS);
  }
}

/** Begins a stream whose caller breaks it off by destroying its agent. */
function beginStream(
  { process, callers }: FleetHost,
  id: string,
): { readonly agent: Agent; readonly result: Promise<CallResult> } {
  const agent = new Agent({ keepAlive: true });
  const result = callOnce({
    agent,
    host: { name: process.name, address: callers },
    id,
    kind: CallKind.resumable,
    body: "body",
    abortsEarly: false,
  });
  return { agent, result };
}
