/** Parses callers' requests for completions, chats and plain services. */
import type { IncomingHttpHeaders } from "node:http";
import ms, { type StringValue } from "ms";
import * as z from "zod";
import type { CallerRequest, RequestId } from "../../core/mod.ts";
import { sha256 } from "../../util/sha256.ts";
import { Err, Ok, type Result } from "../../util/result.ts";
import { ChatMessage, measurePrompt, promptText } from "./prompt.ts";

/** Default of `max_tokens`. */
const DEFAULT_MAX_TOKENS = 512;
/** Maximum length of an Idempotency-Key header. */
const MAX_KEY_LENGTH = 255;

const COMMON_FIELDS = {
  model: z.string().min(1),
  stream: z.boolean().optional(),
  max_tokens: z.int().min(1).optional(),
  max_completion_tokens: z.int().min(1).optional(),
  n: z.literal(1, { error: "only n = 1 is served" }).optional(),
};
const Completion = z.looseObject({
  ...COMMON_FIELDS,
  prompt: z.string().min(1),
});
const Chat = z.looseObject({
  ...COMMON_FIELDS,
  messages: z.array(ChatMessage).min(1),
});

/** Paths of the completion API. */
export const CompletionPath = {
  completions: "/v1/completions",
  chat: "/v1/chat/completions",
} as const;
/** One of the values of {@link CompletionPath}. */
export type CompletionPath = typeof CompletionPath[keyof typeof CompletionPath];

/** Options of {@link parseCompletion} and {@link parsePlain}. */
export type CallOptions = {
  readonly id: RequestId;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
};

/** Parses a completion or chat request. */
export function parseCompletion(
  path: CompletionPath,
  options: CallOptions,
): Result<CallerRequest, string> {
  const json = parseJson(options.body);
  if (json.err) return json;
  const schema = path === CompletionPath.chat ? Chat : Completion;
  const parsed = schema.safeParse(json.val);
  if (!parsed.success) return Err(issuesText(parsed.error));
  const value = parsed.data;
  const promptMeasure = measurePrompt(promptText(value));
  const maxTokens = value.max_completion_tokens ?? value.max_tokens ??
    DEFAULT_MAX_TOKENS;
  return withHeaders(options, {
    service: value.model,
    kind: "completion",
    path,
    stream: value.stream ?? false,
    ...promptMeasure,
    maxTokens,
  });
}

/** Parses a call of a plain service. */
export function parsePlain(
  service: string,
  path: string,
  options: CallOptions,
): Result<CallerRequest, string> {
  return withHeaders(options, {
    service,
    kind: "plain",
    path,
    stream: false,
    promptTokens: 0,
    prefixes: [],
    maxTokens: 0,
  });
}

type RequestFields = Pick<
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
  options: CallOptions,
  fields: RequestFields,
): Result<CallerRequest, string> {
  const { headers } = options;
  const callerKey = header(headers, "idempotency-key");
  if (callerKey !== undefined && callerKey.length > MAX_KEY_LENGTH) {
    return Err(
      `Idempotency-Key: expected at most ${MAX_KEY_LENGTH} characters`,
    );
  }
  const patience = header(headers, "x-otterhill-patience");
  const patienceMs = patience && ms(patience as StringValue);
  if (patience !== undefined && typeof patienceMs !== "number") {
    return Err(`X-Otterhill-Patience: expected "3s" or the like`);
  }
  return Ok({
    type: "callerRequest",
    request: options.id,
    keyHash: sha256(apiKey(headers)),
    body: options.body,
    once: header(headers, "x-otterhill-once") === "true",
    ...fields,
    ...(callerKey === undefined ? {} : { callerKey }),
    ...(typeof patienceMs === "number" ? { patienceMs } : {}),
  });
}

/** Returns the API key of a request, "" when it has none. */
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
