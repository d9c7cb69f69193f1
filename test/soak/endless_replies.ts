/** Replies without end, and callers that read them at different paces. */
import { connect, type Socket } from "node:net";
import type { RawAnswer, RawRequest } from "../gateway/raw_replica.ts";
import { successHead } from "./limited_host.ts";

const PIECE_BYTES = 64 * 1024;

/** Writes pieces to a connection as fast as they are read, until it closes. */
export function sendWithoutEnd(socket: Socket, piece: string): void {
  const bytes = Buffer.from(piece.repeat(PIECE_BYTES / piece.length + 1));
  const write = () => {
    while (!socket.destroyed) if (!socket.write(bytes)) return;
  };
  socket.on("drain", write);
  write();
}

/** Answers each call with a signed success whose body has no end. */
export function endlessSuccess(
  headers: readonly string[],
  piece: string,
): RawAnswer {
  return (call, socket) => {
    const id = call.headers.get("attempt-id") ?? "";
    socket.write(successHead(id, headers));
    sendWithoutEnd(socket, piece);
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

/** Answers all calls to an engine but for prefills, which have no end. */
export function endlessPrefill(piece: string): RawAnswer {
  return (call, socket) => {
    const id = call.headers.get("attempt-id") ?? "";
    const body = engineBody(call);
    if (body !== undefined) {
      const length = `Content-Length: ${body.length}`;
      return void socket.write(successHead(id, [length]) + body);
    }
    socket.write(successHead(id, ["Transfer-Encoding: chunked"]));
    sendWithoutEnd(socket, piece);
  };
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

/** Open requests of callers. */
export type OpenCallers = { close(): void };

/** Sends `count` requests to a host, each on a connection of its own. */
export function openCallers(
  address: string,
  { path, count, pace, headers = [] }: {
    readonly path: string;
    readonly count: number;
    readonly pace: Pace;
    readonly headers?: readonly string[];
  },
): OpenCallers {
  const [host, port] = address.split(":");
  const timers: NodeJS.Timeout[] = [];
  const sockets = Array.from({ length: count }, (_, at) => {
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
    if (pace === Pace.slow) {
      timers.push(setInterval(() => socket.read(SLOW_BYTES), SLOW_INTERVAL_MS));
      socket.on("readable", () => undefined);
    }
    return socket;
  });
  return {
    close: () => {
      for (const timer of timers) clearInterval(timer);
      for (const socket of sockets) socket.destroy();
    },
  };
}
