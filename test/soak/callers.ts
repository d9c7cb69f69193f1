/** Callers that send requests in a loop and record the results. */
import { Agent, type IncomingMessage, request } from "node:http";
import { type RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";

/** The route that a request uses. */
export const CallKind = {
  safe: "safe",
  unsafe: "unsafe",
  /** A stream that runs at most once. */
  stream: "stream",
  /** A stream that another replica may resume. */
  resumable: "resumable",
} as const;
/** One of the values of {@link CallKind}. */
export type CallKind = typeof CallKind[keyof typeof CallKind];

/** The result of one request at its caller. */
export type CallResult = {
  readonly id: string;
  readonly kind: CallKind;
  readonly host: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if no response headers arrived. */
  readonly status: number;
  readonly seal: string;
  readonly body: string;
  /** The HTTP message was received completely. */
  readonly isComplete: boolean;
  /** The caller closed the connection before the response ended. */
  readonly isAborted: boolean;
};

/** Options of {@link runCaller}. */
export type CallerOptions = {
  readonly hosts: readonly {
    readonly name: string;
    readonly address: string;
  }[];
  readonly random: RandomGenerator;
  readonly name: string;
  /** Kinds of requests to send; all by default. */
  readonly kinds?: readonly CallKind[];
  /** The body of all but safe requests. */
  readonly body?: string;
  /** The pause between two requests. */
  readonly pauseMs?: number;
  /** Stops after this many requests and aborts none of them early. */
  readonly maxRequests?: number;
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
const REQUEST_TIMEOUT_MS = 5000;
/** One request in this many is aborted early. */
const ABORT_ONE_IN = 15;
const ABORT_AFTER_MS = 300;
const REQUESTS_PER_CONNECTION = 20;
const PAUSE_MS = 30;

/**
 * Runs one caller, which sends one request at a time over a keep-alive
 * connection.
 */
export async function runCaller(options: CallerOptions): Promise<void> {
  const { hosts, random, name, kinds = KINDS, maxRequests = Infinity } =
    options;
  const { body = "body", pauseMs = PAUSE_MS } = options;
  let sent = 0;
  for (let round = 0; !options.isStopped() && sent < maxRequests; round++) {
    const inRotation = hosts.filter((host) => options.isInRotation(host.name));
    const candidates = inRotation.length > 0 ? inRotation : hosts;
    const host = candidates[randomInt(random, candidates.length)];
    if (!host) return;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; count < REQUESTS_PER_CONNECTION; count++) {
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
        body,
        abortsEarly,
      });
      options.onResult(result);
      await sleep(pauseMs);
      if (!result.isComplete) break;
    }
    agent.destroy();
  }
}

type Attempt = {
  readonly agent: Agent;
  readonly host: { readonly name: string; readonly address: string };
  readonly id: string;
  readonly kind: CallKind;
  readonly body: string;
  readonly abortsEarly: boolean;
};

function callOnce(attempt: Attempt): Promise<CallResult> {
  const { agent, host, id, kind, abortsEarly } = attempt;
  const requestBody = kind === CallKind.safe ? undefined : attempt.body;
  const [ip, port] = host.address.split(":");
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    let response: IncomingMessage | undefined;
    let body = "";
    let isAborted = false;
    const outgoing = request({
      host: ip,
      port,
      agent,
      method: kind === CallKind.safe ? "GET" : "POST",
      path: `/${kind}/x`,
      headers: {
        host: "example",
        "attempt-id": id,
        "token-counts": "100,20",
        "prompt-prefix": `${id}:100`,
        "deadline-remaining-ms": String(REQUEST_TIMEOUT_MS),
      },
    });
    const abortAfter = (afterMs: number) =>
      setTimeout(() => {
        isAborted = true;
        outgoing.destroy();
      }, afterMs);
    const timers = [abortAfter(REQUEST_TIMEOUT_MS)];
    if (abortsEarly) timers.push(abortAfter(ABORT_AFTER_MS));
    outgoing.on("error", () => undefined);
    outgoing.on("response", (message) => {
      response = message;
      message.on("error", () => undefined);
      message.on("data", (bytes: Buffer) => body += bytes.toString());
    });
    outgoing.on("close", () => {
      for (const timer of timers) clearTimeout(timer);
      resolve({
        id,
        kind,
        host: host.name,
        sentAtMs,
        endedAtMs: performance.now(),
        status: response?.statusCode ?? 0,
        seal: String(response?.headers["server-seal"] ?? ""),
        body,
        isComplete: response?.complete ?? false,
        isAborted,
      });
    });
    outgoing.end(requestBody);
  });
}

function sleep(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}
