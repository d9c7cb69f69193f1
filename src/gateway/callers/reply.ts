/** Implements {@link Reply} on Node's `ServerResponse`. */
import type { ServerResponse } from "node:http";
import { resetSocket } from "../../util/reset_socket.ts";
import { GATEWAY_ANSWERS, type GatewayError } from "../answers.ts";
import { answerHeaders, withoutHeaders } from "../http/headers.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";
import type { Dialect } from "../port.ts";
import type { Reply, ResponseHead } from "../requests/request.ts";
import { Framing } from "../upstreams/framing.ts";

/**
 * Time for a caller to read what was sent before its connection is reset, with
 * one retransmission. Some runtimes, such as Node.js, report an end in place of a
 * reset that they learn of while they read.
 */
const RESET_DELAY_MS: Milliseconds = 300;

/** A response that must not have a length (RFC 9110, 8.6). */
const NO_CONTENT = 204;

/** Options of {@link createReply}. */
export type ReplyOptions = {
  readonly response: ServerResponse;
  readonly clock: Pick<Clock, "after">;
  readonly dialect: Pick<Dialect, "endToEndHeaders" | "retryAfterHeader">;
  /** Whether the connection is to be closed after this response. */
  shouldCloseConnection(): boolean;
};

/** A reply over a connection of a caller. */
export type CallerReply = Reply & {
  /** Resets the connection now if the response has been aborted. */
  resetAborted(): void;
};

/** Creates the reply to one request. */
export function createReply(options: ReplyOptions): CallerReply {
  const { response, clock } = options;
  let framing: Framing = Framing.length;
  let isAborted = false;
  // An orderly end of the connection would look like the end of the body.
  const reset = () => {
    if (response.socket) resetSocket(response.socket);
    response.destroy();
  };
  return {
    writeHead: (head) => {
      framing = callerFraming(response, head);
      sendHeaders(options, { ...head, framing });
    },
    write: (bytes) => isAborted || response.write(bytes),
    drained: () => waitForDrain(response),
    end: () => {
      response.end();
    },
    hasEnded: () => isAborted || response.writableEnded || response.destroyed,
    fail: (error, retryAfterSeconds) =>
      sendError(options, error, retryAfterSeconds),
    abort: () => {
      if (framing !== Framing.connection) return void response.destroy();
      // What has ended is aborted when this process exits.
      if (response.writableEnded) return reset();
      if (isAborted) return;
      isAborted = true;
      // After a stall of this process its caller may not have been sent all.
      const onTime = () => setImmediate(reset);
      response.once("close", clock.after(RESET_DELAY_MS, onTime));
    },
    resetAborted: () => {
      if (isAborted) reset();
    },
  };
}

/** The framing for the caller; one that uses HTTP/1.0 does not know chunks. */
function callerFraming(
  { req }: ServerResponse,
  { framing }: ResponseHead,
): Framing {
  const isDecoded = framing === Framing.chunked && req.httpVersion === "1.0";
  return isDecoded ? Framing.connection : framing;
}

function sendHeaders(
  options: ReplyOptions,
  { status, rawHeaders, framing }: ResponseHead,
): void {
  const { response, dialect } = options;
  if (response.headersSent || response.destroyed) return;
  response.sendDate = false;
  const isUnframed = framing === Framing.connection;
  // Otherwise Node adds chunks to a body without a length.
  if (isUnframed) response.removeHeader("Transfer-Encoding");
  if (isUnframed || options.shouldCloseConnection()) {
    response.shouldKeepAlive = false;
  }
  const headers = answerHeaders(rawHeaders, dialect.endToEndHeaders);
  response.writeHead(
    status,
    status === NO_CONTENT
      ? withoutHeaders(headers, (name) => name === "content-length")
      : headers,
  );
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
