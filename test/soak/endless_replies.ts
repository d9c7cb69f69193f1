/** Replies without end, and callers that read them at different paces. */
import { connect, type Socket } from "node:net";
import type { RawAnswer, RawRequest } from "../gateway/raw_replica.ts";

const PIECE_BYTES = 64 * 1024;

/** The head of a success that its replica has signed. */
export function successHead(id: string, headers: readonly string[]): string {
  const lines = ["HTTP/1.1 200 OK", `Attempt-Id: ${id}`, "Server-Seal: s"];
  return [...lines, ...headers, "", ""].join("\r\n");
}

/** Writes pieces to a connection as fast as they are read, until it closes. */
export function sendWithoutEnd(socket: Socket, piece: string): void {
  const bytes = Buffer.from(piece.repeat(PIECE_BYTES / piece.length + 1));
  const write = () => {
    while (!socket.destroyed) if (!socket.write(bytes)) return;
  };
  socket.on("drain", write);
  write();
}

/** What a faulty replica sends without end. */
export type Endless = {
  /** Where it stands; `prefill`: the body of a prefill's response only. */
  readonly place: "body" | "prefill";
  /** Headers of the response, a signed success. */
  readonly headers: readonly string[];
  /** Sent once, before the pieces. */
  readonly start?: string;
  readonly piece: string;
  /** Sends the piece once and leaves the connection open. */
  readonly isOnce?: boolean;
};

/** The body takes a sixth of the bytes, and each part of it an object. */
export const SMALL_CHUNKS = {
  place: "body",
  headers: ["Transfer-Encoding: chunked"],
  piece: "1\r\nx\r\n",
} as const;

/** A body that is as fast as its reader. */
export const ENDLESS_BYTES = {
  place: "body",
  headers: ["Content-Length: 1000000000000"],
  piece: "x",
} as const;

/** How a faulty replica answers. */
export function faultyAnswer(endless: Endless): RawAnswer {
  const { place, headers, start = "", piece, isOnce = false } = endless;
  return (call, socket) => {
    const id = call.headers.get("attempt-id") ?? "";
    const body = place === "prefill" ? engineBody(call) : undefined;
    if (body !== undefined) {
      const length = `Content-Length: ${body.length}`;
      return void socket.write(successHead(id, [length]) + body);
    }
    socket.write(successHead(id, headers) + start);
    if (isOnce) socket.write(piece);
    else sendWithoutEnd(socket, piece);
  };
}

/** Headers of a request to a model engine. */
export const MODEL_HEADERS = [
  "Model: m",
  "Token-Counts: 100,10",
  "Prompt-Prefix: aa:100",
] as const;

let reservations = 0;

/** The body of a sound response of an engine; undefined: a prefill's. */
function engineBody({ path, headers }: RawRequest): string | undefined {
  reservations += 1;
  const Retention = `m${reservations}`;
  if (path === "/hold-take") return JSON.stringify({ Retention });
  if (path === "/report") {
    const report = { Stage: "decode", Utilization: false, Sequence: 0 };
    return JSON.stringify({ ...report, born: 1 });
  }
  if (headers.get("serving-stage") === "prefill") return undefined;
  return "data: x\n\n";
}

/** How a caller reads its response. */
export const Pace = {
  full: "full",
  none: "none",
  /** A little at a time. */
  slow: "slow",
} as const;
/** One of the values of {@link Pace}. */
export type Pace = typeof Pace[keyof typeof Pace];

const SLOW_INTERVAL_MS = 1000;
const SLOW_BYTES = 1;
const START_INTERVAL_MS = 10;

/** Requests to a host. */
export type FaultyCalls = {
  readonly path: string;
  readonly count: number;
  readonly pace: Pace;
  readonly headers?: readonly string[];
};

/**
 * Sends requests to a host, each on a connection of its own and a little later
 * than the one before.
 */
export function openCallers(address: string, calls: FaultyCalls): void {
  for (let at = 0; at < calls.count; at++) {
    setTimeout(() => openCaller(address, calls, at), at * START_INTERVAL_MS);
  }
}

function openCaller(
  address: string,
  { path, pace, headers = [] }: FaultyCalls,
  at: number,
): void {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  const lines = [
    `GET ${path} HTTP/1.1`,
    "Host: example",
    `Attempt-Id: faulty-${at}`,
    ...headers,
  ];
  socket.write([...lines, "", ""].join("\r\n"));
  if (pace === Pace.full) socket.resume();
  if (pace !== Pace.slow) return;
  const timer = setInterval(() => socket.read(SLOW_BYTES), SLOW_INTERVAL_MS);
  socket.on("readable", () => undefined);
  socket.on("close", () => clearInterval(timer));
}
