/** Sends a request of a workload and measures the response. */
import { createParser } from "eventsource-parser";
import { HttpFailure, openCall, readText } from "../../shell/mod.ts";
import type { Arrival } from "./workload.ts";

/** Outcome of a request. */
export type Outcome = {
  readonly arrival: Arrival;
  readonly target: string;
  /** Measured from the scheduled send time, not the actual one. */
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
  readonly tokens: number;
  readonly error?: string;
  readonly retryAfterSeconds?: number;
  /** Whether the response met its latency targets. */
  readonly good: boolean;
};

/** Timeout for the connection, and between two reads of a stream. */
const IDLE_TIMEOUT_MS = 30_000;

/** How to send a request. */
export type SendOptions = {
  /** Address of an entry host. */
  readonly target: string;
  /** When the request is due, by the clock of `performance.now`. */
  readonly scheduledAt: number;
  /** Headers beside the customer's key. */
  readonly headers: Readonly<Record<string, string>>;
};

/** Sends a request to an entry host. */
export async function send(
  arrival: Arrival,
  options: SendOptions,
): Promise<Outcome> {
  const { target } = options;
  try {
    return arrival.stream.plain
      ? await sendPlain(arrival, options)
      : await sendStream(arrival, options);
  } catch (error) {
    const reason = isConnectionFailure(error) ? "connection" : String(error);
    return { arrival, target, tokens: 0, error: reason, good: false };
  }
}

function isConnectionFailure(error: unknown): boolean {
  if (error instanceof HttpFailure) return true;
  return error instanceof Error && "code" in error &&
    error.code === "ECONNRESET";
}

function requestHeaders(
  { stream }: Arrival,
  { headers }: SendOptions,
): Record<string, string> {
  return { ...headers, authorization: `Bearer ${stream.key}` };
}

async function sendPlain(
  arrival: Arrival,
  options: SendOptions,
): Promise<Outcome> {
  const { target, scheduledAt } = options;
  const response = await openCall({
    address: target,
    method: "POST",
    path: `/plain/${arrival.stream.service}/`,
    headers: requestHeaders(arrival, options),
    body: JSON.stringify({ text: arrival.prompt }),
    connectTimeoutMs: IDLE_TIMEOUT_MS,
  });
  const text = await readText(response);
  if (response.statusCode !== 200) return refusedOutcome(arrival, target, text);
  const firstTokenMs = performance.now() - scheduledAt;
  const good = firstTokenMs <= arrival.stream.first_token;
  return { arrival, target, firstTokenMs, tokens: 0, good };
}

async function sendStream(
  arrival: Arrival,
  options: SendOptions,
): Promise<Outcome> {
  const { target, scheduledAt } = options;
  const { stream, prompt, outputTokens } = arrival;
  const response = await openCall({
    address: target,
    method: "POST",
    path: "/v1/completions",
    headers: requestHeaders(arrival, options),
    body: JSON.stringify({
      model: stream.service,
      prompt,
      max_tokens: outputTokens,
      stream: true,
    }),
    connectTimeoutMs: IDLE_TIMEOUT_MS,
    silenceTimeoutMs: IDLE_TIMEOUT_MS,
  });
  if (response.statusCode !== 200) {
    return refusedOutcome(arrival, target, await readText(response));
  }
  const eventTimes: number[] = [];
  let error: string | undefined;
  let completed = false;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === "[DONE]") completed = true;
      else if (data.startsWith('{"error"')) error = parseErrorCode(data);
      else eventTimes.push(performance.now());
    },
  });
  response.setEncoding("utf8");
  for await (const chunk of response) parser.feed(String(chunk));
  if (!completed) error ??= "broken";
  return measureStream(arrival, target, scheduledAt, eventTimes, error);
}

/** Computes latencies of a stream; its last event carries no token. */
function measureStream(
  arrival: Arrival,
  target: string,
  scheduledAt: number,
  eventTimes: readonly number[],
  error: string | undefined,
): Outcome {
  const tokens = Math.max(0, eventTimes.length - 1);
  const first = eventTimes[0];
  const last = eventTimes[tokens - 1];
  if (first === undefined || last === undefined || error !== undefined) {
    return { arrival, target, tokens, error: error ?? "empty", good: false };
  }
  const firstTokenMs = first - scheduledAt;
  const betweenTokensMs = tokens > 1 ? (last - first) / (tokens - 1) : 0;
  const { first_token, between_tokens } = arrival.stream;
  const good = firstTokenMs <= first_token &&
    betweenTokensMs <= between_tokens;
  return { arrival, target, firstTokenMs, betweenTokensMs, tokens, good };
}

function refusedOutcome(
  arrival: Arrival,
  target: string,
  text: string,
): Outcome {
  return {
    arrival,
    target,
    tokens: 0,
    error: parseErrorCode(text),
    good: false,
  };
}

function parseErrorCode(text: string): string {
  try {
    const { error } = JSON.parse(text) as { error: { code: string } };
    return error.code;
  } catch {
    return "unreadable answer";
  }
}
