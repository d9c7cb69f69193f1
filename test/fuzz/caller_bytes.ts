/** The bytes of a planned connection. */
import type { ConnectionPlan, ValidRequest } from "./caller_plan.ts";

/** A body that contains a request, for hosts that lose their place. */
const HIDDEN = "GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: hidden\r\n\r\n";

/** The body of a request. */
export function bodyOf({ framing, bodyBytes }: ValidRequest): string {
  if (framing === "none") return "";
  return HIDDEN.repeat(Math.ceil(bodyBytes / HIDDEN.length))
    .slice(0, bodyBytes);
}

/** The bytes of a valid request with an id. */
export function requestText(request: ValidRequest, id: string): string {
  const { behavior, framing, fillerBytes, isExpecting } = request;
  const body = bodyOf(request);
  const head = [
    `${framing === "none" ? "GET" : "POST"} /a/b HTTP/1.1`,
    "Host: example",
    `x-id: ${id}`,
    `x-behavior: ${behavior}`,
    ...(fillerBytes > 0 ? [`x-filler: ${"f".repeat(fillerBytes)}`] : []),
    ...(isExpecting ? ["Expect: 100-continue"] : []),
    ...(framing === "length" ? [`Content-Length: ${body.length}`] : []),
    ...(framing === "chunked" ? ["Transfer-Encoding: chunked"] : []),
    "",
    "",
  ].join("\r\n");
  return framing === "chunked" ? head + chunked(body) : head + body;
}

function chunked(body: string): string {
  const middle = Math.floor(body.length / 3);
  const parts = [body.slice(0, middle), body.slice(middle)];
  const chunks = parts.filter((part) => part !== "").map((part) =>
    `${part.length.toString(16)}\r\n${part}\r\n`
  );
  return `${chunks.join("")}0\r\n\r\n`;
}

/** All bytes of a connection that are written. */
export function connectionBytes(
  plan: ConnectionPlan,
  idOf: (index: number) => string,
): Buffer {
  const { requests, mutations, writtenShare } = plan;
  const text = requests.map((request, index) =>
    request.type === "valid" ? requestText(request, idOf(index)) : request.text
  ).join("");
  const bytes = Buffer.from(text, "latin1");
  for (const [share, byte] of mutations) {
    bytes[Math.floor(share * (bytes.length - 1))] = byte;
  }
  return bytes.subarray(0, Math.ceil(writtenShare * bytes.length));
}
