/** Writes responses and errors in the OpenAI API's format. */
import type { ServerResponse } from "node:http";
import {
  ANSWERS,
  type CallerRequest,
  type ErrorKind,
  type Ran,
} from "../../core/mod.ts";
import { CompletionPath } from "./parse.ts";

/** Why a request ended without a complete response. */
export type Refusal = {
  readonly error: ErrorKind;
  readonly ran: Ran;
  readonly retryAfterSeconds?: number;
  /** Details on the error, appended to its message. */
  readonly detail?: string;
};

/** A call whose response is not finished. */
export type OpenCall = {
  readonly call: CallerRequest;
  readonly response: ServerResponse;
  /** Unix time in seconds, sent as `created`. */
  readonly created: number;
};

/** Returns the JSON body of an error. */
export function errorBody(refusal: Refusal): string {
  const answer = ANSWERS[refusal.error];
  const detail = refusal.detail === undefined ? "" : `: ${refusal.detail}`;
  return JSON.stringify({
    error: {
      message: answer.message + detail,
      type: refusal.error,
      code: refusal.error,
      ran: refusal.ran,
      retry_after_seconds: refusal.retryAfterSeconds ?? null,
    },
  });
}

/** Sends an error, as the last event when a stream has started. */
export function sendError(response: ServerResponse, refusal: Refusal): void {
  const body = errorBody(refusal);
  if (response.headersSent) {
    response.end(`data: ${body}\n\n`);
    return;
  }
  const retryAfter = refusal.retryAfterSeconds;
  response.writeHead(ANSWERS[refusal.error].status, {
    "content-type": "application/json",
    "x-otterhill-ran": refusal.ran,
    ...(retryAfter === undefined ? {} : { "retry-after": String(retryAfter) }),
  });
  response.end(body);
}

/** Sends a chunk of a streamed response. */
export function sendChunk(open: OpenCall, text: string): void {
  startStream(open);
  open.response.write(
    `data: ${JSON.stringify(chunkBody(open, text, null))}\n\n`,
  );
}

function startStream(open: OpenCall): void {
  if (open.response.headersSent) return;
  open.response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-cache",
    "x-request-id": open.call.request,
  });
}

/** Ends a streamed response. */
export function endStream(open: OpenCall, finish: string): void {
  startStream(open);
  const lastChunk = JSON.stringify(chunkBody(open, "", finish));
  open.response.end(`data: ${lastChunk}\n\ndata: [DONE]\n\n`);
}

function chunkBody(
  open: OpenCall,
  text: string,
  finish: string | null,
): unknown {
  const { call, created } = open;
  const chat = call.path === CompletionPath.chat;
  const choice = chat
    ? { index: 0, delta: { content: text }, finish_reason: finish }
    : { index: 0, text, finish_reason: finish };
  return {
    id: call.request,
    object: chat ? "chat.completion.chunk" : "text_completion",
    created,
    model: call.service,
    choices: [choice],
  };
}

/** Sends a completion that is not streamed. */
export function sendCompletion(
  open: OpenCall,
  answer: { readonly text: string; finish: string; tokens: number },
): void {
  const { call, created, response } = open;
  const chat = call.path === CompletionPath.chat;
  const message = { role: "assistant", content: answer.text };
  const choice = chat
    ? { index: 0, message, finish_reason: answer.finish }
    : { index: 0, text: answer.text, finish_reason: answer.finish };
  response.writeHead(200, {
    "content-type": "application/json",
    "x-request-id": call.request,
  });
  response.end(JSON.stringify({
    id: call.request,
    object: chat ? "chat.completion" : "text_completion",
    created,
    model: call.service,
    choices: [choice],
    usage: {
      prompt_tokens: call.promptTokens,
      completion_tokens: answer.tokens,
      total_tokens: call.promptTokens + answer.tokens,
    },
  }));
}
