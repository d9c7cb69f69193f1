/** Callers that send requests in a loop and record the results. */
import { Agent } from "node:http";
import { type RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { CallKind, callOnce, type CallResult } from "./call.ts";
import { findResumption } from "./resumptions.ts";
import { sleep } from "./sleep.ts";

/** A host as its callers know it. */
export type CallerHost = { readonly name: string; readonly address: string };

/** Options of {@link runCaller}. */
export type CallerOptions = {
  readonly hosts: readonly CallerHost[];
  readonly random: RandomGenerator;
  readonly name: string;
  /** Kinds of requests to send; all by default. */
  readonly kinds?: readonly CallKind[];
  /** The body of all but safe requests. */
  readonly body?: string;
  /** As in {@link CallOptions}. */
  readonly promptParts?: readonly string[];
  /** The pause between two requests. */
  readonly pauseMs?: number;
  /** Resumes broken streams at other hosts, if the route allows it. */
  readonly isResuming?: boolean;
  /** As in {@link CallOptions}. */
  readonly isImpatient?: boolean;
  /** Stops after this many requests and aborts none of them early. */
  readonly maxRequests?: number;
  /** The host that most new connections go to, if there is one. */
  hotHost?(): string | undefined;
  /** Whether each of its requests has a body of its own. */
  readonly hasOwnBodies?: boolean;
  /** Whether the load balancer sends new connections to the host. */
  isInRotation(host: string): boolean;
  isStopped(): boolean;
  onResult(result: CallResult): void;
};

const KINDS: readonly CallKind[] = [
  CallKind.safe,
  CallKind.safe,
  CallKind.unsafe,
  CallKind.unsafe,
  CallKind.stream,
  CallKind.resumable,
];
/** One request in this many is aborted early. */
const ABORT_ONE_IN = 15;
const REQUESTS_PER_CONNECTION = 20;
/** While most new connections go to one host, callers open more of them. */
const REQUESTS_PER_HOT_CONNECTION = 2;
/** All but one in this many new connections go to the hot host. */
const ELSEWHERE_ONE_IN = 20;
/** Attempts of a caller to resume a stream. */
const MAX_RESUMPTIONS = 3;
const PAUSE_MS = 30;

/**
 * Runs one caller, which sends one request at a time over a keep-alive
 * connection.
 */
export async function runCaller(options: CallerOptions): Promise<void> {
  const { hosts, random, name, kinds = KINDS, maxRequests = Infinity } =
    options;
  const { body = "body", promptParts = [], pauseMs = PAUSE_MS } = options;
  const { isImpatient = false } = options;
  let sent = 0;
  for (let round = 0; !options.isStopped() && sent < maxRequests; round++) {
    const host = chooseHost(options, hosts);
    if (!host) return;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const limit = options.hotHost?.() === undefined
      ? REQUESTS_PER_CONNECTION
      : REQUESTS_PER_HOT_CONNECTION;
    for (let count = 0; count < limit; count++) {
      if (options.isStopped() || sent >= maxRequests) break;
      sent += 1;
      const kind = kinds[randomInt(random, kinds.length)] ?? CallKind.safe;
      const id = `${name}-${round}-${count}`;
      const abortsEarly = maxRequests === Infinity &&
        randomInt(random, ABORT_ONE_IN) === 0;
      const result = await callOnce({
        agent,
        host,
        id,
        kind,
        body: options.hasOwnBodies ? id : body,
        abortsEarly,
        isImpatient,
        promptParts,
      });
      options.onResult(result);
      if (options.isResuming) await resumeElsewhere(options, result);
      await sleep(pauseMs);
      if (!result.isComplete) break;
    }
    agent.destroy();
  }
}

/**
 * Resumes a stream at hosts that have not had it yet, until it ends, the caller
 * gives up or no host is left.
 */
async function resumeElsewhere(
  options: CallerOptions,
  broken: CallResult,
): Promise<void> {
  const { body = "body", pauseMs = PAUSE_MS, isImpatient = false } = options;
  const triedHosts = new Set<string>();
  let previous = broken;
  for (let count = 1; count <= MAX_RESUMPTIONS; count++) {
    const resumption = findResumption(previous);
    if (!resumption) return;
    triedHosts.add(previous.host);
    await sleep(pauseMs);
    const others = options.hosts.filter(({ name }) => !triedHosts.has(name));
    const host = chooseHost(options, others);
    if (!host) return;
    const agent = new Agent();
    previous = await callOnce({
      agent,
      host,
      id: `${broken.id}-r${count}`,
      kind: broken.kind,
      body,
      abortsEarly: false,
      isImpatient,
      resumption,
    });
    agent.destroy();
    options.onResult(previous);
  }
}

/**
 * Chooses a host that is in rotation, or any one if none is; mostly the hot one
 * if there is one.
 */
function chooseHost(
  { random, isInRotation, hotHost }: CallerOptions,
  hosts: readonly CallerHost[],
): CallerHost | undefined {
  const inRotation = hosts.filter(({ name }) => isInRotation(name));
  const candidates = inRotation.length > 0 ? inRotation : hosts;
  if (candidates.length === 0) return undefined;
  const hot = candidates.find(({ name }) => name === hotHost?.());
  if (hot && randomInt(random, ELSEWHERE_ONE_IN) !== 0) return hot;
  return candidates[randomInt(random, candidates.length)];
}
