/** Headers as names and values by turns, as they came over the wire. */

/** Headers of one connection only (RFC 9110, 7.6.1), and of its framing. */
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

/** Headers without those that `drop`, given a lower-case name, picks. */
export function withoutHeaders(
  raw: readonly string[],
  drop: (name: string) => boolean,
): string[] {
  const kept: string[] = [];
  for (let at = 0; at + 1 < raw.length; at += 2) {
    const name = raw[at] ?? "";
    if (drop(name.toLowerCase())) continue;
    kept.push(name, raw[at + 1] ?? "");
  }
  return kept;
}

/**
 * Headers that go from end to end; the body's length is told anew. Those in
 * `endToEnd` stay even if the `Connection` header names them.
 */
export function requestHeaders(
  raw: readonly string[],
  endToEnd: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(raw, endToEnd);
  return withoutHeaders(
    raw,
    (name) =>
      CONNECTION_HEADERS.has(name) || named.has(name) ||
      name === "content-length" || name === "expect",
  );
}

/** Headers of an answer; its length stays unless it came in chunks. */
export function answerHeaders(
  raw: readonly string[],
  endToEnd: ReadonlySet<string>,
): string[] {
  const named = namedByConnection(raw, endToEnd);
  const chunked = raw.some((one, at) =>
    at % 2 === 0 && one.toLowerCase() === "transfer-encoding"
  );
  return withoutHeaders(
    raw,
    (name) =>
      CONNECTION_HEADERS.has(name) || named.has(name) ||
      (chunked && name === "content-length"),
  );
}

function namedByConnection(
  raw: readonly string[],
  endToEnd: ReadonlySet<string>,
): Set<string> {
  const names = new Set<string>();
  for (let at = 0; at + 1 < raw.length; at += 2) {
    if (raw[at]?.toLowerCase() !== "connection") continue;
    for (const part of (raw[at + 1] ?? "").split(",")) {
      const name = part.trim().toLowerCase();
      if (!endToEnd.has(name)) names.add(name);
    }
  }
  return names;
}
