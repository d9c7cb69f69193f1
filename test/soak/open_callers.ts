/**
 * Callers that send requests at a fixed rate, whatever becomes of those before,
 * each on a connection of its own. One whose connection is closed before a
 * response is sent again to another host, as callers behind a load balancer do.
 */
import { Agent } from "node:http";
import { xoroshiro128plus } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { CallKind, callOnce, type CallResult } from "./call.ts";
import type { CallerHost } from "./callers.ts";
import { sleep } from "./sleep.ts";

const KINDS: readonly CallKind[] = [
  CallKind.safe,
  CallKind.safe,
  CallKind.safe,
  CallKind.safe,
  CallKind.unsafe,
  CallKind.stream,
];
/** Service Unavailable. */
const REFUSED = 503;
const MAX_TRIES = 4;
/** All but one in this many requests go to the hot host. */
const ELSEWHERE_ONE_IN = 10;

/** A request with all its tries, in order. */
export type OpenCall = {
  readonly sentAtMs: number;
  readonly tries: readonly CallResult[];
};

/** Options of {@link runOpenCallers}. */
export type OpenCallerOptions = {
  readonly hosts: readonly CallerHost[];
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly forMs: number;
  /** The host that nine in ten requests are sent to; absent: none. */
  readonly hotHost?: string;
};

/** Sends requests for some time; resolves when all have ended. */
export async function runOpenCallers(
  options: OpenCallerOptions,
): Promise<OpenCall[]> {
  const { seed, requestsPerSecond, forMs } = options;
  const startedAt = performance.now();
  const count = Math.floor(requestsPerSecond * forMs / 1000);
  return await Promise.all(
    Array.from({ length: count }, async (_, at) => {
      const dueAt = startedAt + at * 1000 / requestsPerSecond;
      await sleep(dueAt - performance.now());
      return await send(options, `o${seed}-${Math.round(startedAt)}-${at}`, at);
    }),
  );
}

async function send(
  { hosts, seed, hotHost }: OpenCallerOptions,
  id: string,
  at: number,
): Promise<OpenCall> {
  const random = xoroshiro128plus(seed * 1_000_003 + at);
  // Neighbouring seeds draw similar first values.
  randomInt(random, 2);
  const kind = KINDS[randomInt(random, KINDS.length)] ?? CallKind.safe;
  const sentAtMs = performance.now();
  const tries: CallResult[] = [];
  while (tries.length < MAX_TRIES) {
    const tried = new Set(tries.map(({ host }) => host));
    const others = hosts.filter(({ name }) => !tried.has(name));
    const hot = others.find(({ name }) => name === hotHost);
    const isHot = hot && randomInt(random, ELSEWHERE_ONE_IN) !== 0;
    const host = isHot ? hot : others[randomInt(random, others.length)];
    if (!host) break;
    const result = await callOnce({
      agent: new Agent(),
      host,
      id: `${id}-${tries.length}`,
      kind,
      body: id,
      abortsEarly: false,
    });
    tries.push(result);
    if (!isClosedUnread(result)) break;
  }
  return { sentAtMs, tries };
}

/** Options of {@link runKeptCallers}. */
export type KeptCallerOptions = {
  readonly hosts: readonly CallerHost[];
  /** The host to which all callers are connected at first. */
  readonly first: CallerHost;
  readonly callers: number;
  /** Time from the start of a request to that of the caller's next one. */
  readonly intervalMs: number;
  /** The same at first, while all callers connect. */
  readonly firstIntervalMs: number;
  readonly firstForMs: number;
  readonly forMs: number;
};

/**
 * Runs callers that keep their connection, and open one to another host when it
 * is closed or the host refuses a request.
 */
export async function runKeptCallers(
  options: KeptCallerOptions,
): Promise<CallResult[]> {
  const { callers, firstIntervalMs } = options;
  const startedAt = performance.now();
  const all = await Promise.all(
    Array.from({ length: callers }, async (_, at) => {
      await sleep(at * firstIntervalMs / callers);
      return await runKeptCaller(options, { at, startedAt });
    }),
  );
  return all.flat();
}

async function runKeptCaller(
  { hosts, first, intervalMs, firstIntervalMs, firstForMs, forMs }:
    KeptCallerOptions,
  { at, startedAt: runAt }: { readonly at: number; readonly startedAt: number },
): Promise<CallResult[]> {
  const random = xoroshiro128plus(at);
  const results: CallResult[] = [];
  const endsAt = runAt + firstForMs + forMs;
  let host = first;
  let agent = new Agent({ keepAlive: true, maxSockets: 1 });
  while (performance.now() < endsAt) {
    const startedAt = performance.now();
    const kind = KINDS[randomInt(random, KINDS.length)] ?? CallKind.safe;
    const id = `k${at}-${Math.round(startedAt)}`;
    const result = await callOnce({
      agent,
      host,
      id,
      kind,
      body: id,
      abortsEarly: false,
    });
    results.push(result);
    // The agent learns that it may keep the connection behind the response.
    await sleep(1);
    const isKept = Object.keys(agent.freeSockets).length > 0;
    if (!isKept || result.status === REFUSED) {
      agent.destroy();
      agent = new Agent({ keepAlive: true, maxSockets: 1 });
      host = hosts[randomInt(random, hosts.length)] ?? first;
    }
    const isFirst = performance.now() < runAt + firstForMs;
    const pauseMs = isFirst ? firstIntervalMs : intervalMs;
    await sleep(startedAt + pauseMs - performance.now());
  }
  agent.destroy();
  return results;
}

/** Whether the connection was closed before any response. */
export function isClosedUnread({ status, isAborted }: CallResult): boolean {
  return status === 0 && !isAborted;
}
