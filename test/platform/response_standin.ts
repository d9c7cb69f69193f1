/** Responses of stand-ins: how they are framed and where they are cut. */
import type { ServerResponse } from "node:http";
import { resetSocket } from "../../src/util/reset_socket.ts";

/** How the receiver finds the end of a body (RFC 9112, 6.3). */
export const Framing = {
  length: "length",
  chunks: "chunks",
  /** The body ends with its connection. */
  none: "none",
} as const;
/** One of the values of {@link Framing}. */
export type Framing = typeof Framing[keyof typeof Framing];

/** How a connection ends. */
export const ConnectionEnd = {
  /** In order. */
  fin: "FIN",
  reset: "reset",
} as const;
/** One of the values of {@link ConnectionEnd}. */
export type ConnectionEnd = typeof ConnectionEnd[keyof typeof ConnectionEnd];

/** How a response ends before its body does. */
export type ResponseCut = {
  readonly end: ConnectionEnd;
  /** The number of bytes of the body that are sent. */
  position(body: string): number;
};

/** How a response is sent. */
export type ResponseShape = {
  readonly framing: Framing;
  /** An unframed response has no `Connection` header either. */
  readonly isCloseOmitted?: boolean;
  readonly cut?: ResponseCut;
};

/** A response that was cut. */
export type CutResponse = {
  readonly request: string;
  readonly replica: string;
  readonly framing: Framing;
  readonly end: ConnectionEnd;
  /** The part of the body that was sent. */
  readonly sent: string;
};

/** Options of {@link writeResponse}. */
export type ResponseOptions = {
  readonly headers: Readonly<Record<string, string>>;
  /** The body, in ASCII; nothing else is written at once. */
  readonly pieces: readonly string[];
  readonly shape: ResponseShape;
  /** Called before each piece. */
  wait(): Promise<void>;
};

/** Time from the last bytes until a reset, which may overtake them. */
const RESET_DELAY_MS = 30;

/** What {@link writeResponse} has done. */
export type WrittenResponse = {
  /** "closed": the connection was closed meanwhile. */
  readonly state: "whole" | "cut" | "closed";
  /** The part of the body that was sent. */
  readonly sent: string;
};

/** Writes a response with status 200, up to its cut if it has one. */
export async function writeResponse(
  response: ServerResponse,
  { headers, pieces, shape, wait }: ResponseOptions,
): Promise<WrittenResponse> {
  const body = pieces.join("");
  const cutAt = shape.cut?.position(body) ?? Infinity;
  writeHead(response, { headers, shape, length: body.length });
  let sent = "";
  for (const piece of pieces) {
    await wait();
    if (response.destroyed) return { state: "closed", sent };
    const part = piece.slice(0, Math.max(0, cutAt - sent.length));
    if (part !== "") response.write(part);
    sent += part;
    if (part.length === piece.length) continue;
    await breakOff(response, shape.cut?.end ?? ConnectionEnd.reset);
    return { state: "cut", sent };
  }
  response.end();
  return { state: "whole", sent };
}

function writeHead(
  response: ServerResponse,
  { headers, shape, length }: {
    readonly headers: Readonly<Record<string, string>>;
    readonly shape: ResponseShape;
    readonly length: number;
  },
): void {
  if (shape.framing === Framing.none) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    if (shape.isCloseOmitted) response.removeHeader("connection");
  }
  const framing = shape.framing === Framing.length
    ? { "Content-Length": String(length) }
    : {};
  response.writeHead(200, { ...headers, ...framing });
}

async function breakOff(
  response: ServerResponse,
  end: ConnectionEnd,
): Promise<void> {
  response.flushHeaders();
  const { socket } = response;
  if (end === ConnectionEnd.fin) return void socket?.destroySoon();
  await new Promise((resolve) => setTimeout(resolve, RESET_DELAY_MS));
  if (socket) resetSocket(socket);
}
