/** A request whose head and body are sent at different times. */
import { connect, type Socket } from "node:net";
import { LOOPBACK } from "../loopback.ts";
import { promptHeader } from "../platform/prompt_header.ts";
import type { CallKind } from "./call.ts";
import { sleep } from "./sleep.ts";

const BODY = "late body";
const CALLER_TIMEOUT_MS = 20_000;

/** How a late request is sent; all times are counted from its start. */
export type LateRequest = {
  readonly id: string;
  readonly kind: CallKind;
  /** Address of the host's callers' port. */
  readonly address: string;
  readonly headAfterMs: number;
  /** When the rest of the body follows the head; Infinity: never. */
  readonly bodyAfterMs: number;
  readonly isChunked?: boolean;
};

/** What the caller of a late request received. */
export type LateResult = {
  readonly id: string;
  /** When its last byte was sent; Infinity if the body never ended. */
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if no response headers arrived. */
  readonly status: number;
  /** Whether the response is as long as its headers announce. */
  readonly isComplete: boolean;
  readonly closesConnection: boolean;
};

/** Opens a connection, sends a request slowly and reads until it is closed. */
export async function sendLate(late: LateRequest): Promise<LateResult> {
  const startedAt = performance.now();
  const [host = LOOPBACK, port] = late.address.split(":");
  const socket = connect(Number(port), host);
  const text = received(socket);
  await sleep(late.headAfterMs);
  socket.write(headOf(late) + firstBytes(late));
  let sentAtMs = Infinity;
  if (Number.isFinite(late.bodyAfterMs)) {
    await Promise.race([sleep(late.bodyAfterMs), text]);
    if (socket.writable) socket.write(lastBytes(late));
    sentAtMs = performance.now() - startedAt;
  }
  const response = await text;
  const endedAtMs = performance.now() - startedAt;
  return { id: late.id, sentAtMs, endedAtMs, ...parse(response) };
}

function headOf({ id, kind, isChunked }: LateRequest): string {
  return [
    `POST /${kind}/x HTTP/1.1`,
    "Host: example",
    `Attempt-Id: ${id}`,
    "Token-Counts: 100,20",
    `Prompt-Prefix: ${promptHeader([id])}`,
    `Deadline-Remaining-Ms: ${CALLER_TIMEOUT_MS}`,
    isChunked ? "Transfer-Encoding: chunked" : `Content-Length: ${BODY.length}`,
    "\r\n",
  ].join("\r\n");
}

function firstBytes({ isChunked }: LateRequest): string {
  return isChunked ? `1\r\n${BODY.slice(0, 1)}\r\n` : BODY.slice(0, 1);
}

function lastBytes({ isChunked }: LateRequest): string {
  const rest = BODY.slice(1);
  return isChunked
    ? `${rest.length.toString(16)}\r\n${rest}\r\n0\r\n\r\n`
    : rest;
}

function received(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (bytes) => {
      text += bytes.toString("latin1");
      // A kept connection is of no further use.
      if (parse(text).isComplete) socket.end();
    });
    socket.on("error", () => undefined);
    socket.on("close", () => resolve(text));
  });
}

function parse(
  text: string,
): Pick<LateResult, "status" | "isComplete" | "closesConnection"> {
  const end = text.indexOf("\r\n\r\n");
  const status = Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
  if (end < 0) return { status, isComplete: false, closesConnection: false };
  const head = text.slice(0, end).toLowerCase();
  const body = text.slice(end + 4);
  const length = /content-length: (\d+)/.exec(head)?.[1];
  const isComplete = length === undefined
    ? body.endsWith("0\r\n\r\n")
    : body.length === Number(length);
  const closesConnection = head.includes("connection: close");
  return { status, isComplete, closesConnection };
}
