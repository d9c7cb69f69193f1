/** A small HTTP server for the stand-ins: routes by method and path. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { readBody } from "../../shell/callers/read_body.ts";
import { parseAddress } from "../../util/address.ts";

/** What a route gets. */
export type Exchange = {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly response: ServerResponse;
};

/** Largest body that a stand-in takes. */
const BODY_LIMIT = 64 * 1024 * 1024;

/** A stand-in that listens. */
export type RunningStandin = {
  /** `IP:port`, the port filled in. */
  readonly address: string;
  stop(): void;
};

/** Starts a server; a route that throws answers with status 400. */
export async function startServer(
  address: string,
  route: (exchange: Exchange) => void,
): Promise<RunningStandin> {
  const server = createServer((request, response) => {
    void exchange(request, response, route);
  });
  const place = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(place?.port, place?.host, resolve);
  });
  return {
    address: `${place?.host}:${boundPort(server)}`,
    stop: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

function boundPort(server: Server): number {
  const bound = server.address();
  return typeof bound === "object" && bound ? bound.port : 0;
}

async function exchange(
  request: IncomingMessage,
  response: ServerResponse,
  route: (exchange: Exchange) => void,
): Promise<void> {
  const body = await readBody(request, BODY_LIMIT);
  if (body.type !== "whole") return;
  try {
    route({
      method: request.method ?? "GET",
      url: new URL(request.url ?? "/", "http://standin"),
      headers: request.headers,
      body: body.text,
      response,
    });
  } catch (error) {
    sendJson(response, 400, { error: String(error) });
  }
}

/** Answers with JSON. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
