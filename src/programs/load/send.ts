/** Sends one request of a workload and measures its answer. */
import { createParser } from "eventsource-parser";
import { HttpFailure, openCall, readText } from "../../shell/mod.ts";
import type { Arrival } from "./workload.ts";

/** How one request went. */
export type Outcome = {
  readonly arrival: Arrival;
  readonly target: string;
  /** From the intended send time. */
  readonly firstTokenMs?: number;
  readonly betweenTokensMs?: number;
  readonly tokens: number;
  readonly error?: string;
  readonly retryAfterSeconds?: number;
  readonly good: boolean;
};

/** A stream may be silent this long. */
const IDLE_TIMEOUT_MS = 30_000;

/** Sends a request to an entry host. */
export async function send(
  arrival: Arrival,
  target: string,
  intendedAt: number,
): Promise<Outcome> {
  try {
    return arrival.stream.plain
      ? await sendPlain(arrival, target, intendedAt)
      : await sendStream(arrival, target, intendedAt);
  } catch (error) {
    const reason = error instanceof HttpFailure ? "connection" : String(error);
    return { arrival, target, tokens: 0, error: reason, good: false };
  }
}

function authorizationHeaders(arrival: Arrival): Record<string, string> {
  return { authorization: `Bearer ${arrival.stream.key}` };
}

async function sendPlain(
  arrival: Arrival,
  target: string,
  intendedAt: number,
): Promise<Outcome> {
  const answer = await openCall({
    address: target,
    method: "POST",
    path: `/plain/${arrival.stream.service}/`,
    headers: authorizationHeaders(arrival),
    body: JSON.stringify({ text: arrival.prompt }),
    connectTimeoutMs: IDLE_TIMEOUT_MS,
  });
  const text = await readText(answer);
  if (answer.statusCode !== 200) return refusedOutcome(arrival, target, text);
  const firstTokenMs = performance.now() - intendedAt;
  const good = firstTokenMs <= arrival.stream.first_token;
  return { arrival, target, firstTokenMs, tokens: 0, good };
}

async function sendStream(
  arrival: Arrival,
  target: string,
  intendedAt: number,
): Promise<Outcome> {
  const { stream, prompt, outputTokens } = arrival;
  const answer = await openCall({
    address: target,
    method: "POST",
    path: "/v1/completions",
    headers: authorizationHeaders(arrival),
    body: JSON.stringify({
      model: stream.service,
      prompt,
      max_tokens: outputTokens,
      stream: true,
    }),
    connectTimeoutMs: IDLE_TIMEOUT_MS,
    silenceTimeoutMs: IDLE_TIMEOUT_MS,
  });
  if (answer.statusCode !== 200) {
    return refusedOutcome(arrival, target, await readText(answer));
  }
  const times: number[] = [];
  let error: string | undefined;
  let ended = false;
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === "[DONE]") ended = true;
      else if (data.startsWith('{"error"')) error = parseErrorCode(data);
      else times.push(performance.now());
    },
  });
  answer.setEncoding("utf8");
  for await (const part of answer) parser.feed(String(part));
  if (!ended) error ??= "broken";
  return measureStream(arrival, target, intendedAt, times, error);
}

/** The closing event carries no token, so it is left out. */
function measureStream(
  arrival: Arrival,
  target: string,
  intendedAt: number,
  times: readonly number[],
  error: string | undefined,
): Outcome {
  const tokens = Math.max(0, times.length - 1);
  const first = times[0];
  const last = times[tokens - 1];
  if (first === undefined || last === undefined || error !== undefined) {
    return { arrival, target, tokens, error: error ?? "empty", good: false };
  }
  const firstTokenMs = first - intendedAt;
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
