/** A replica for tests, whose raw response bytes the test writes. */
import { createServer, type Server, type Socket } from "node:net";
import { LOOPBACK } from "../loopback.ts";

/** A request that a raw replica received. */
export type RawRequest = {
  readonly method: string;
  readonly path: string;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Sequence number of the request at this replica, from 1. */
  readonly number: number;
};

/** Writes the response to a request. */
export type RawAnswer = (request: RawRequest, socket: Socket) => void;

/** A listening raw replica. */
export type RawReplica = {
  readonly address: string;
  readonly requests: RawRequest[];
  /** Number of connections that were opened to it. */
  connections(): number;
  /** Number of connections that are open. */
  openConnections(): number;
  stop(): void;
};

/** Starts a raw replica on a free port of the loopback interface. */
export async function startRawReplica(answer: RawAnswer): Promise<RawReplica> {
  const requests: RawRequest[] = [];
  const sockets = new Set<Socket>();
  let opened = 0;
  const server = createServer((socket) => {
    opened += 1;
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
    readRequests(socket, (read) => {
      const request = { ...read, number: requests.length + 1 };
      requests.push(request);
      answer(request, socket);
    });
  });
  const port = await listen(server);
  return {
    address: `${LOOPBACK}:${port}`,
    requests,
    connections: () => opened,
    openConnections: () => sockets.size,
    stop: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Listens on a free port of this process's address; resolves with the port. */
export function listen(server: Server): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, LOOPBACK, () => {
      const bound = server.address();
      resolve(typeof bound === "object" && bound ? bound.port : 0);
    });
  });
}

function readRequests(
  socket: Socket,
  onRequest: (request: Omit<RawRequest, "number">) => void,
): void {
  let text = "";
  socket.on("data", (bytes) => {
    text += bytes.toString("latin1");
    for (;;) {
      const end = text.indexOf("\r\n\r\n");
      if (end < 0) return;
      const [requestLine = "", ...lines] = text.slice(0, end).split("\r\n");
      const headers = new Map(lines.map(headerOf));
      const length = Number(headers.get("content-length") ?? 0);
      const bodyEnd = end + 4 + length;
      if (text.length < bodyEnd) return;
      const body = text.slice(end + 4, bodyEnd);
      text = text.slice(bodyEnd);
      const [method = "", path = ""] = requestLine.split(" ");
      onRequest({ method, path, headers, body });
    }
  });
}

function headerOf(line: string): [string, string] {
  const colon = line.indexOf(":");
  const name = line.slice(0, colon).toLowerCase();
  return [name, line.slice(colon + 1).trim()];
}

/** A complete response with `Content-Length`. */
export function completeResponse(
  request: RawRequest,
  body: string,
  extra: readonly string[] = [],
): string {
  return [
    "HTTP/1.1 200 OK",
    `x-id: ${request.headers.get("x-id") ?? ""}`,
    `content-length: ${Buffer.byteLength(body)}`,
    ...extra,
    "",
    body,
  ].join("\r\n");
}

/** The status line and headers of a chunked response. */
export function chunkedHeaders(
  request: RawRequest,
  extra: readonly string[] = [],
): string {
  return [
    "HTTP/1.1 200 OK",
    `x-id: ${request.headers.get("x-id") ?? ""}`,
    "transfer-encoding: chunked",
    ...extra,
    "",
    "",
  ].join("\r\n");
}

/** A chunk of a body; an empty text is the final chunk. */
export function chunk(text: string): string {
  return `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}
