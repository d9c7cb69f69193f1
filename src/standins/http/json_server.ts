/** HTTP server that the stand-ins share. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import { readBody } from "../../shell/callers/read_body.ts";
import { parseListenAddress } from "../../util/address.ts";

/** A request with its response. */
export type Exchange = {
  readonly method: string;
  readonly url: URL;
  readonly headers: IncomingMessage["headers"];
  readonly body: string;
  readonly response: ServerResponse;
};

/** Maximum size of a request body. */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/** A stand-in that accepts connections. */
export type RunningStandin = {
  /** `IP:port` with the bound port. */
  readonly address: string;
  stop(): void;
};

/** Starts a server that responds with status 400 when `route` throws. */
export async function startServer(
  address: string,
  route: (exchange: Exchange) => void,
): Promise<RunningStandin> {
  const server = createServer((request, response) => {
    void handleRequest(request, response, route);
  });
  const listenAddress = parseListenAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(listenAddress?.port, listenAddress?.host, resolve);
  });
  return {
    address: `${listenAddress?.host}:${boundPort(server)}`,
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

async function handleRequest(
  request: IncomingMessage,
  response: ServerResponse,
  route: (exchange: Exchange) => void,
): Promise<void> {
  const body = await readBody(request, MAX_BODY_BYTES);
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

/** Sends a JSON response. */
export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(value));
}
