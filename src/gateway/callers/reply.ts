/** The caller's side of an answer, over Node's server response. */
import type { ServerResponse } from "node:http";
import { GATEWAY_ANSWERS, type GatewayError } from "../answers.ts";
import { answerHeaders } from "../http/headers.ts";
import type { Dialect } from "../port.ts";
import type { Reply } from "../requests/request.ts";

/** What a reply needs to know of its host. */
export type ReplySource = {
  readonly response: ServerResponse;
  readonly dialect: Pick<Dialect, "endToEndHeaders" | "retryAfterHeader">;
  /** The caller should not use this connection again. */
  lastOnConnection(): boolean;
};

/** Makes the reply to one request. */
export function createReply(source: ReplySource): Reply {
  const { response } = source;
  return {
    head: (status, rawHeaders) => sendHead(source, status, rawHeaders),
    write: (bytes) => response.write(bytes),
    drained: () => drained(response),
    end: () => {
      response.end();
    },
    fail: (error, retryAfterSeconds) =>
      sendFailure(source, error, retryAfterSeconds),
    breakOff: () => {
      response.destroy();
    },
  };
}

function sendHead(
  source: ReplySource,
  status: number,
  rawHeaders: readonly string[],
): void {
  const { response, dialect } = source;
  if (response.headersSent || response.destroyed) return;
  response.sendDate = false;
  if (source.lastOnConnection()) response.shouldKeepAlive = false;
  const headers = answerHeaders(rawHeaders, dialect.endToEndHeaders);
  response.writeHead(status, headers);
  response.flushHeaders();
}

function drained(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    response.once("drain", resolve);
    response.once("close", resolve);
  });
}

function sendFailure(
  source: ReplySource,
  error: GatewayError,
  retryAfterSeconds?: number,
): void {
  const { response, dialect: { retryAfterHeader } } = source;
  if (response.headersSent || response.destroyed) return;
  const answer = GATEWAY_ANSWERS[error];
  const comeBack = retryAfterSeconds ?? answer.retryAfterSeconds;
  const body = JSON.stringify({ error, message: answer.message });
  if (source.lastOnConnection()) response.shouldKeepAlive = false;
  response.writeHead(answer.status, {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(body)),
    ...(comeBack === undefined ? {} : { [retryAfterHeader]: String(comeBack) }),
    ...(answer.challenge === undefined
      ? {}
      : { "WWW-Authenticate": answer.challenge }),
  });
  response.end(body);
}
