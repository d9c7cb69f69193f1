/** Responses that are cut off at each of their bytes, for tests. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { resetSocket } from "../../src/util/reset_socket.ts";
import { SeenEnding, type SeenResponse } from "./raw_caller.ts";
import type { RawAnswer, RawRequest } from "./raw_replica.ts";

/** Cuts that are played side by side. */
const BATCH = 24;

/** Ends a connection behind the part of a response. */
export type Cut = (socket: Socket) => void;

/** The ways in which a connection ends. */
export const CUTS: Readonly<Record<"end" | "reset", Cut>> = {
  end: (socket) => void socket.end(),
  reset: (socket) => resetSocket(socket),
};

/** A whole response in two parts. */
export type CutResponse = {
  readonly head: string;
  readonly body: string;
  /** Whether the head says where the body ends. */
  readonly isFramed: boolean;
};

/** The headers of a response, and what else it consists of. */
export type ResponseParts = {
  readonly body: string;
  readonly version?: string;
  readonly status?: string;
  /** Interim responses before it. */
  readonly before?: string;
};

/** Creates a response from header lines. */
export function responseOf(
  lines: readonly string[],
  { body, version = "1.1", status = "200 OK", before = "" }: ResponseParts,
): CutResponse {
  const head = [`HTTP/${version} ${status}`, ...lines, "", ""].join("\r\n");
  const isFramed = /content-length|chunked/.test(head);
  return { head: before + head, body, isFramed };
}

/** A body in one chunk, with a trailer behind it. */
export function chunkedBody(text: string): string {
  const size = Buffer.byteLength(text).toString(16);
  return `${size}\r\n${text}\r\n0\r\nx-trailer: a\r\n\r\n`;
}

/** The same JSON body in each framing. */
export function jsonResponses(
  body: string,
  status = "200 OK",
): readonly CutResponse[] {
  const length = `content-length: ${Buffer.byteLength(body)}`;
  return [
    responseOf([length], { body, status }),
    responseOf(["transfer-encoding: chunked"], {
      body: chunkedBody(body),
      status,
    }),
    responseOf(["content-type: application/json"], { body, status }),
    responseOf([], { body, status, version: "1.0" }),
  ];
}

/** Numbers of bytes after which a response is cut in its head. */
export function headCuts({ head }: CutResponse): number[] {
  return Array.from({ length: head.length }, (_, bytes) => bytes);
}

/** Numbers of bytes after which a response is not whole. */
export function allCuts({ head, body }: CutResponse): number[] {
  const { length } = head + body;
  return Array.from({ length }, (_, bytes) => bytes);
}

/** Sends the first bytes of a response and ends its connection. */
export function sendCut(
  socket: Socket,
  { head, body }: CutResponse,
  { bytes, cut }: { readonly bytes: number; readonly cut: Cut },
): void {
  socket.write((head + body).slice(0, bytes), () => {
    setImmediate(() => cut(socket));
  });
}

/** Answers each request with the first bytes of a response. */
export function answerCut(
  respond: (request: RawRequest) => CutResponse,
  options: { readonly bytes: number; readonly cut: Cut },
): RawAnswer {
  return (request, socket) => sendCut(socket, respond(request), options);
}

/** Plays all cases, some of them side by side. */
export async function playAll<T>(
  cases: readonly T[],
  play: (one: T) => Promise<void>,
): Promise<void> {
  const left = [...cases];
  const players = Array.from({ length: BATCH }, async () => {
    for (let one = left.pop(); one !== undefined; one = left.pop()) {
      await play(one);
    }
  });
  await Promise.all(players);
}

/** Asserts that a caller sees an error, or that a response was cut. */
export function assertNotWhole(seen: SeenResponse, label: string): void {
  const { status, ending, body } = seen;
  const isWhole = status < 400 && ending !== SeenEnding.truncated;
  assert.ok(!isWhole, `${label}: status ${status}, body ${body}`);
}
