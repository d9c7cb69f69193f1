/** The framing of response bodies (RFC 9112, 6.3). */
import type { IncomingMessage } from "node:http";

/** What delimits the body of a response. */
export const Framing = {
  /** `Content-Length`, or a response that has no body. */
  length: "length",
  /** Chunks, of which the last one is empty. */
  chunked: "chunked",
  /** The end of the connection, which can't be told from a truncation. */
  connection: "connection",
} as const;
/** One of the values of {@link Framing}. */
export type Framing = typeof Framing[keyof typeof Framing];

/** What is known about the end of a response's body. */
export const BodyEnding = {
  /** The framing says that the body is complete. */
  complete: "complete",
  /**
   * The body ended with its connection, in order. Without framing, nothing
   * tells whether it is complete (RFC 9112, 8).
   */
  unconfirmed: "unconfirmed",
  /** The body is incomplete. */
  truncated: "truncated",
} as const;
/** One of the values of {@link BodyEnding}. */
export type BodyEnding = typeof BodyEnding[keyof typeof BodyEnding];

/** Statuses of responses without a body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
/** The only transfer coding that Node.js removes. */
const CHUNKED = "chunked";

/** Whether a body is in a transfer coding that is still to be removed. */
export function hasUnknownCoding(
  { headers }: Pick<IncomingMessage, "headers">,
): boolean {
  const coding = headers["transfer-encoding"];
  return coding !== undefined && coding.toLowerCase() !== CHUNKED;
}

/**
 * Returns what delimits the body of a response to a request. The body is in no
 * unknown transfer coding.
 */
export function framingOf(
  { statusCode, headers }: Pick<IncomingMessage, "statusCode" | "headers">,
  method: string,
): Framing {
  if (method === "HEAD" || BODILESS_STATUSES.has(statusCode ?? 0)) {
    return Framing.length;
  }
  if (headers["transfer-encoding"] !== undefined) return Framing.chunked;
  return headers["content-length"] === undefined
    ? Framing.connection
    : Framing.length;
}
