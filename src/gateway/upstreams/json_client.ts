/** JSON calls to one address over persistent connections. */
import type { Agent, IncomingHttpHeaders } from "node:http";
import type { JsonCall } from "../port.ts";
import type { Clock } from "../clock.ts";
import { startCall } from "./call.ts";
import { JsonAgent } from "./json_agent.ts";
import { readJsonBody } from "./json_body.ts";

/** A complete response. */
export type JsonAnswer = {
  readonly status: number;
  readonly body: string;
  /** Absent where the response was not received over HTTP. */
  readonly headers?: IncomingHttpHeaders;
};

/** A client for one address. */
export type JsonClient = {
  /**
   * Rejects if no complete response arrives or `signal` aborts the call; with a
   * {@link ResponseError} if a response has begun.
   */
  call(call: JsonCall, signal: AbortSignal): Promise<JsonAnswer>;
  close(): void;
};

const CONNECT_TIMEOUT_MS = 600;
const MAX_SOCKETS = 4;

/** Creates a client, which opens connections on demand. */
export function createJsonClient(address: string, clock: Clock): JsonClient {
  const agent = new JsonAgent({ keepAlive: true, maxSockets: MAX_SOCKETS });
  return {
    call: (call, signal) => sendCall({ address, clock, agent }, call, signal),
    close: () => agent.destroy(),
  };
}

/** What all calls of a client share. */
type ClientState = {
  readonly address: string;
  readonly clock: Clock;
  readonly agent: Agent;
};

async function sendCall(
  state: ClientState,
  jsonCall: JsonCall,
  signal: AbortSignal,
): Promise<JsonAnswer> {
  signal.throwIfAborted();
  const call = startCall({
    ...state,
    method: jsonCall.method,
    path: jsonCall.path,
    headers: ["Content-Type", "application/json"],
    body: Buffer.from(jsonCall.body ?? ""),
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
  });
  const abort = () => call.abort("Call aborted");
  signal.addEventListener("abort", abort, { once: true });
  try {
    const outcome = await call.outcome;
    if (outcome.type !== "answer") throw new Error(outcome.reason);
    const body = await readJsonBody(outcome.answer);
    const { statusCode = 0, headers } = outcome.answer.message;
    return { status: statusCode, body, headers };
  } finally {
    signal.removeEventListener("abort", abort);
  }
}
