/** Small JSON calls to one address over kept connections. */
import { Agent, type IncomingHttpHeaders } from "node:http";
import type { SmallCall } from "../port.ts";
import type { Clock } from "../clock.ts";
import { readWhole, startCall } from "./call.ts";

/** An answer read whole. */
export type JsonAnswer = {
  readonly status: number;
  readonly body: string;
  /** Absent where no transport brought it. */
  readonly headers?: IncomingHttpHeaders;
};

/** A client of one address. */
export type JsonClient = {
  /** Rejects when no whole answer comes, or when `signal` ends the call. */
  call(call: SmallCall, signal: AbortSignal): Promise<JsonAnswer>;
  close(): void;
};

const BODY_LIMIT = 64 << 20;
const CONNECT_TIMEOUT_MS = 600;
const SOCKETS = 4;

/** Makes a client; its connections are made when they are needed. */
export function createJsonClient(address: string, clock: Clock): JsonClient {
  const agent = new Agent({ keepAlive: true, maxSockets: SOCKETS });
  return {
    call: (call, signal) => callOnce({ address, clock, agent }, call, signal),
    close: () => agent.destroy(),
  };
}

type Place = {
  readonly address: string;
  readonly clock: Clock;
  readonly agent: Agent;
};

async function callOnce(
  place: Place,
  small: SmallCall,
  signal: AbortSignal,
): Promise<JsonAnswer> {
  signal.throwIfAborted();
  const call = startCall({
    ...place,
    method: small.method,
    path: small.path,
    headers: ["Content-Type", "application/json"],
    body: Buffer.from(small.body ?? ""),
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  const abort = () => call.abort("Given up");
  signal.addEventListener("abort", abort, { once: true });
  try {
    const outcome = await call.outcome;
    if (outcome.type !== "answer") throw new Error(outcome.reason);
    const body = await readWhole(outcome.answer, BODY_LIMIT);
    if (body === undefined) throw new Error("The answer was cut off");
    const { statusCode = 0, headers } = outcome.answer.message;
    return { status: statusCode, body, headers };
  } finally {
    signal.removeEventListener("abort", abort);
  }
}
