/** Reads raw headers, which are lists of alternating names and values. */
import type { IncomingMessage } from "node:http";

/** Hop-by-hop headers (RFC 9110, 7.6.1) and those of message framing. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/**
 * Returns the headers except those whose lower-case name `shouldDrop` accepts.
 */
export function withoutHeaders(
  raw: readonly string[],
  shouldDrop: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index] ?? "";
    if (shouldDrop(name.toLowerCase())) continue;
    kept.push(name, raw[index + 1] ?? "");
  }
  return kept;
}

/**
 * Request headers to forward to a replica: the end-to-end ones without
 * `Content-Length`, which is set again when the request is sent, and `Expect`.
 * Headers in `endToEnd` are kept even if the `Connection` header names them.
 */
export function requestHeaders(
  raw: readonly string[],
  endToEnd: ReadonlySet<string>,
): string[] {
  const connectionNames = namesInConnection(raw, endToEnd);
  return withoutHeaders(
    raw,
    (name) =>
      CONNECTION_HEADERS.has(name) || connectionNames.has(name) ||
      name === "content-length" || name === "expect",
  );
}

/**
 * Response headers to forward to the caller: the end-to-end ones, without
 * `Content-Length` if the response is chunked. Headers in `endToEnd` are kept
 * even if the `Connection` header names them.
 */
export function answerHeaders(
  raw: readonly string[],
  endToEnd: ReadonlySet<string>,
): string[] {
  const connectionNames = namesInConnection(raw, endToEnd);
  const isChunked = raw.some((text, index) =>
    index % 2 === 0 && text.toLowerCase() === "transfer-encoding"
  );
  return withoutHeaders(
    raw,
    (name) =>
      CONNECTION_HEADERS.has(name) || connectionNames.has(name) ||
      (isChunked && name === "content-length"),
  );
}

/**
 * Whether a name contains a space, which Node.js 20 accepts. Before the colon
 * it hides a header from some receivers (RFC 9112, 5.1).
 */
export function hasInvalidName(raw: readonly string[]): boolean {
  return raw.some((text, index) => index % 2 === 0 && text.includes(" "));
}

/** Bytes around the name and the value of a header: a colon, a space, CRLF. */
const HEADER_FRAMING_BYTES = 4;

/** Size of a request head in bytes, without its method and version. */
export function headBytes(
  { url = "", rawHeaders }: Pick<IncomingMessage, "url" | "rawHeaders">,
): number {
  let bytes = url.length + HEADER_FRAMING_BYTES * rawHeaders.length / 2;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

/** Lower-case names listed in the `Connection` header, except `endToEnd`. */
function namesInConnection(
  raw: readonly string[],
  endToEnd: ReadonlySet<string>,
): Set<string> {
  const names = new Set<string>();
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]?.toLowerCase() !== "connection") continue;
    for (const item of (raw[index + 1] ?? "").split(",")) {
      const name = item.trim().toLowerCase();
      if (!endToEnd.has(name)) names.add(name);
    }
  }
  return names;
}
