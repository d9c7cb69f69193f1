/** Implements {@link Reply} on Node's `ServerResponse`. */
import type { ServerResponse } from "node:http";
import { GATEWAY_ANSWERS, type GatewayError } from "../answers.ts";
import { answerHeaders } from "../http/headers.ts";
import type { Dialect } from "../port.ts";
import type { Reply } from "../requests/request.ts";

/** Options of {@link createReply}. */
export type ReplyOptions = {
  readonly response: ServerResponse;
  readonly dialect: Pick<Dialect, "endToEndHeaders" | "retryAfterHeader">;
  /** Whether the connection is to be closed after this response. */
  shouldCloseConnection(): boolean;
};

/** Creates the reply to one request. */
export function createReply(options: ReplyOptions): Reply {
  const { response } = options;
  return {
    writeHead: (status, rawHeaders) => sendHeaders(options, status, rawHeaders),
    write: (bytes) => response.write(bytes),
    drained: () => waitForDrain(response),
    end: () => {
      response.end();
    },
    fail: (error, retryAfterSeconds) =>
      sendError(options, error, retryAfterSeconds),
    abort: () => {
      response.destroy();
    },
  };
}

function sendHeaders(
  options: ReplyOptions,
  status: number,
  rawHeaders: readonly string[],
): void {
  const { response, dialect } = options;
  if (response.headersSent || response.destroyed) return;
  response.sendDate = false;
  if (options.shouldCloseConnection()) response.shouldKeepAlive = false;
  const headers = answerHeaders(rawHeaders, dialect.endToEndHeaders);
  response.writeHead(status, headers);
  response.flushHeaders();
}

/** Resolves when the write buffer has drained or the connection has closed. */
function waitForDrain(response: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const finish = () => {
      response.off("drain", finish);
      response.off("close", finish);
      resolve();
    };
    response.on("drain", finish);
    response.on("close", finish);
  });
}

function sendError(
  options: ReplyOptions,
  error: GatewayError,
  retryAfterSeconds?: number,
): void {
  const { response, dialect: { retryAfterHeader } } = options;
  if (response.headersSent || response.destroyed) return;
  const answer = GATEWAY_ANSWERS[error];
  const seconds = retryAfterSeconds ?? answer.retryAfterSeconds;
  const body = JSON.stringify({ error, message: answer.message });
  if (options.shouldCloseConnection()) response.shouldKeepAlive = false;
  response.writeHead(answer.status, {
    "Content-Type": "application/json",
    "Content-Length": String(Buffer.byteLength(body)),
    ...(seconds === undefined ? {} : { [retryAfterHeader]: String(seconds) }),
    ...(answer.challenge === undefined
      ? {}
      : { "WWW-Authenticate": answer.challenge }),
  });
  response.end(body);
}
