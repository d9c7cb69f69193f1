/** Schemas of the engine stand-in's HTTP API and conversions to its model. */
import type { ServerResponse } from "node:http";
import murmurhash from "murmurhash";
import * as z from "zod";
import type { EngineSettings } from "../../settings/mod.ts";
import {
  ChatMessage,
  measurePrompt,
  promptText,
} from "../../shell/callers/prompt.ts";
import type { Exchange } from "../http/json_server.ts";
import type { EngineParameters, Job } from "./mod.ts";

const RemoteDecode = z.object({ do_remote_decode: z.literal(true) });
const RemotePrefill = z.object({
  remote_address: z.string(),
  export_of: z.string(),
});
/** Body of a completion or chat call. */
export const CompletionBody = z.looseObject({
  prompt: z.string().optional(),
  messages: z.array(ChatMessage).optional(),
  max_tokens: z.number().optional(),
  max_completion_tokens: z.number().optional(),
  stream: z.boolean().optional(),
  kv_transfer_params: z.union([RemoteDecode, RemotePrefill]).optional(),
});
/** Body of an order, which sets the role or starts a drain. */
export const OrderBody = z.object({
  fence: z.number(),
  drain: z.boolean().optional(),
  role: z.enum(["prefill", "decode"]).optional(),
});

/** An HTTP response that is still open for an attempt. */
export type OpenResponse = {
  readonly response: ServerResponse;
  readonly chat: boolean;
  readonly stream: boolean;
  /** Text of a response that is not streamed, sent when it is complete. */
  text: string;
};

/** Sends the headers of an event stream. */
export function startEvents(response: ServerResponse): void {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
}

/** Converts a call to the engine's job. */
export function jobOf(
  body: z.infer<typeof CompletionBody>,
  headers: Exchange["headers"],
): Job {
  const text = promptText(body);
  const measured = measurePrompt(text);
  return {
    attempt: String(headers["x-request-id"] ?? Math.random()),
    promptTokens: measured.promptTokens,
    prefixes: measured.prefixes,
    outputTokens: body.max_tokens ?? body.max_completion_tokens ?? 16,
    priority: Number(headers["x-priority"] ?? 5),
    text: `w${murmurhash.v3(text).toString(36)}`,
  };
}

/** Converts settings to the engine's parameters. */
export function parametersOf(settings: EngineSettings): EngineParameters {
  const { engine } = settings;
  return {
    slots: engine.slots,
    prefillRate: engine.prefill_tokens_per_second,
    stepBaseMs: engine.step_base,
    stepPerRequestMs: engine.step_per_request,
    stepBesidePrefill: engine.step_beside_prefill,
    cacheTokens: engine.cache_tokens,
    blockTokens: 256,
    exportMs: engine.export_kept,
    transferMsPerToken: engine.transfer_per_1000_tokens / 1000,
    chunkTokens: engine.chunk_tokens,
    reportLagMs: engine.report_lag,
  };
}
