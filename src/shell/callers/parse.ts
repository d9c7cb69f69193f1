/** Reads callers' requests: OpenAI's completions and chat, plain services. */
import type { IncomingHttpHeaders } from "node:http";
import ms, { type StringValue } from "ms";
import * as z from "zod";
import type { CallerRequest, RequestId } from "../../core/mod.ts";
import { sha256 } from "../../util/sha256.ts";
import { Err, Ok, type Result } from "../../util/result.ts";
import { ChatMessage, measurePrompt, promptText } from "./prompt.ts";

/** Output tokens when a request doesn't say. */
const USUAL_MAX_TOKENS = 512;
/** Longest Idempotency-Key taken. */
const KEY_LIMIT = 255;

const Common = {
  model: z.string().min(1),
  stream: z.boolean().optional(),
  max_tokens: z.int().min(1).optional(),
  max_completion_tokens: z.int().min(1).optional(),
  n: z.literal(1, { error: "only n = 1 is served" }).optional(),
};
const Completion = z.looseObject({ ...Common, prompt: z.string().min(1) });
const Chat = z.looseObject({
  ...Common,
  messages: z.array(ChatMessage).min(1),
});

/** A path that callers send completions to. */
export const CompletionPath = {
  completions: "/v1/completions",
  chat: "/v1/chat/completions",
} as const;
/** One of the values of {@link CompletionPath}. */
export type CompletionPath = typeof CompletionPath[keyof typeof CompletionPath];

/** What every kind of request brings besides its body. */
export type CallSource = {
  readonly id: RequestId;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
};

/** Reads a completion request. */
export function parseCompletion(
  path: CompletionPath,
  source: CallSource,
): Result<CallerRequest, string> {
  const json = parseJson(source.body);
  if (json.err) return json;
  const schema = path === CompletionPath.chat ? Chat : Completion;
  const parsed = schema.safeParse(json.val);
  if (!parsed.success) return Err(issuesText(parsed.error));
  const value = parsed.data;
  const measure = measurePrompt(promptText(value));
  const maxTokens = value.max_completion_tokens ?? value.max_tokens ??
    USUAL_MAX_TOKENS;
  return withHeaders(source, {
    service: value.model,
    kind: "completion",
    path,
    stream: value.stream ?? false,
    ...measure,
    maxTokens,
  });
}

/** Reads a call of a plain service. */
export function parsePlain(
  service: string,
  path: string,
  source: CallSource,
): Result<CallerRequest, string> {
  return withHeaders(source, {
    service,
    kind: "plain",
    path,
    stream: false,
    promptTokens: 0,
    prefixes: [],
    maxTokens: 0,
  });
}

type Inner = Pick<
  CallerRequest,
  | "service"
  | "kind"
  | "path"
  | "stream"
  | "promptTokens"
  | "prefixes"
  | "maxTokens"
>;

function withHeaders(
  source: CallSource,
  inner: Inner,
): Result<CallerRequest, string> {
  const { headers } = source;
  const callerKey = header(headers, "idempotency-key");
  if (callerKey !== undefined && callerKey.length > KEY_LIMIT) {
    return Err(`Idempotency-Key: expected at most ${KEY_LIMIT} characters`);
  }
  const patience = header(headers, "x-otterhill-patience");
  const patienceMs = patience && ms(patience as StringValue);
  if (patience !== undefined && typeof patienceMs !== "number") {
    return Err(`X-Otterhill-Patience: expected "3s" or the like`);
  }
  return Ok({
    type: "callerRequest",
    request: source.id,
    keyHash: sha256(apiKey(headers)),
    body: source.body,
    once: header(headers, "x-otterhill-once") === "true",
    ...inner,
    ...(callerKey === undefined ? {} : { callerKey }),
    ...(typeof patienceMs === "number" ? { patienceMs } : {}),
  });
}

/** The API key that a request brings; "" for none. */
export function apiKey(headers: IncomingHttpHeaders): string {
  const [scheme, key] = (headers.authorization ?? "").split(" ");
  return scheme?.toLowerCase() === "bearer" ? key ?? "" : "";
}

function header(
  headers: IncomingHttpHeaders,
  name: string,
): string | undefined {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
}

function parseJson(text: string): Result<unknown, string> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Err(error instanceof Error ? error.message : String(error));
  }
}

function issuesText(error: z.ZodError): string {
  return error.issues
    .map((issue) => `${issue.path.join(".") || "body"}: ${issue.message}`)
    .join("; ");
}
