/** Callers that send without end, and what they saw. */
import { Agent, type IncomingMessage, request } from "node:http";
import { type RandomGenerator } from "pure-rand";
import { draw } from "../../src/util/chance.ts";

/** What kind of route a request takes. */
export const CallKind = {
  safe: "safe",
  unsafe: "unsafe",
  /** A stream that runs at most once. */
  stream: "stream",
  /** A stream that may go on elsewhere. */
  resumable: "resumable",
} as const;
/** One of the values of {@link CallKind}. */
export type CallKind = typeof CallKind[keyof typeof CallKind];

/** One request and its end, as its caller saw them. */
export type Seen = {
  readonly id: string;
  readonly kind: CallKind;
  readonly host: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0: no head came. */
  readonly status: number;
  readonly seal: string;
  readonly body: string;
  /** The answer's framing came to its end. */
  readonly isComplete: boolean;
  /** The caller left before the end. */
  readonly hasLeft: boolean;
};

/** Where callers send, and when they end. */
export type CallerSource = {
  readonly hosts: readonly {
    readonly name: string;
    readonly address: string;
  }[];
  readonly random: RandomGenerator;
  readonly name: string;
  /** Kinds that are sent, unless all are. */
  readonly kinds?: readonly CallKind[];
  /** What is sent with all but safe requests. */
  readonly body?: string;
  /** Between two requests. */
  readonly pauseMs?: number;
  /** Ends after so many requests, none of them left early. */
  readonly most?: number;
  /** The host may get new connections: the balancer would choose it. */
  isIn(host: string): boolean;
  isOver(): boolean;
  saw(seen: Seen): void;
};

const KINDS: readonly CallKind[] = [
  CallKind.safe,
  CallKind.safe,
  CallKind.unsafe,
  CallKind.unsafe,
  CallKind.stream,
  CallKind.resumable,
];
/** A caller gives a request up after this time. */
const PATIENCE_MS = 5000;
/** One request in so many is left before its end. */
const LEAVE_ONE_IN = 15;
const LEAVE_AFTER_MS = 300;
/** Requests on one connection before a new one is opened. */
const KEPT_REQUESTS = 20;
const PAUSE_MS = 30;

/** One caller: a request at a time over a kept connection. */
export async function runCaller(source: CallerSource): Promise<void> {
  const { hosts, random, name, kinds = KINDS, most = Infinity } = source;
  const { body = "body", pauseMs = PAUSE_MS } = source;
  let sent = 0;
  for (let round = 0; !source.isOver() && sent < most; round++) {
    const inside = hosts.filter((one) => source.isIn(one.name));
    const open = inside.length > 0 ? inside : hosts;
    const host = open[draw(random, open.length)];
    if (!host) return;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; count < KEPT_REQUESTS; count++) {
      if (source.isOver() || sent >= most) break;
      sent += 1;
      const kind = kinds[draw(random, kinds.length)] ?? CallKind.safe;
      const id = `${name}-${round}-${count}`;
      const leaves = most === Infinity && draw(random, LEAVE_ONE_IN) === 0;
      const seen = await callOnce({ agent, host, id, kind, body, leaves });
      source.saw(seen);
      await pause(pauseMs);
      if (!seen.isComplete) break;
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
  readonly leaves: boolean;
};

function callOnce(attempt: Attempt): Promise<Seen> {
  const { agent, host, id, kind, leaves } = attempt;
  const sent = kind === CallKind.safe ? undefined : attempt.body;
  const [ip, port] = host.address.split(":");
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    let answer: IncomingMessage | undefined;
    let body = "";
    let hasLeft = false;
    const sending = request({
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
        "deadline-remaining-ms": String(PATIENCE_MS),
      },
    });
    const leave = (afterMs: number) =>
      setTimeout(() => {
        hasLeft = true;
        sending.destroy();
      }, afterMs);
    const timers = [leave(PATIENCE_MS)];
    if (leaves) timers.push(leave(LEAVE_AFTER_MS));
    sending.on("error", () => undefined);
    sending.on("response", (message) => {
      answer = message;
      message.on("error", () => undefined);
      message.on("data", (bytes: Buffer) => body += bytes.toString());
    });
    sending.on("close", () => {
      for (const timer of timers) clearTimeout(timer);
      resolve({
        id,
        kind,
        host: host.name,
        sentAtMs,
        endedAtMs: performance.now(),
        status: answer?.statusCode ?? 0,
        seal: String(answer?.headers["server-seal"] ?? ""),
        body,
        isComplete: answer?.complete ?? false,
        hasLeft,
      });
    });
    sending.end(sent);
  });
}

function pause(forMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, forMs));
}
