/** Responses for connections whose requests can't be parsed. */
import { STATUS_CODES } from "node:http";
import { GATEWAY_ANSWERS, type GatewayError } from "../answers.ts";

/** An error as the bytes of a response that closes its connection. */
export function rawResponse(
  error: GatewayError,
  retryAfterHeader: string,
): string {
  const { status, message, retryAfterSeconds } = GATEWAY_ANSWERS[error];
  const body = JSON.stringify({ error, message });
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ""}`,
    "Connection: close",
    "Content-Type: application/json",
    `Content-Length: ${Buffer.byteLength(body)}`,
    ...(retryAfterSeconds === undefined
      ? []
      : [`${retryAfterHeader}: ${retryAfterSeconds}`]),
    "",
    body,
  ].join("\r\n");
}
