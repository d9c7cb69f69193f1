/** Opens the HTTP request of a call. */
import {
  type Agent,
  type ClientRequest,
  request,
  type RequestOptions,
} from "node:http";
import { type CarriedCalls, noteCarriedCall } from "./carried_calls.ts";

/**
 * Bytes up to the end of a response's head, with all informational responses
 * before it. Node.js bounds the head alone.
 */
const MAX_HEAD_BYTES = 64 * 1024;

/** A request to a replica. */
export type ReplicaRequest = {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  /** Id that the response repeats; absent for calls that have none. */
  readonly id?: string | undefined;
  readonly agent: Agent;
};

/** A request that has been opened. */
export type OpenRequest = {
  readonly clientRequest: ClientRequest;
  /** What its connection had carried; valid once it has a connection. */
  carried(): CarriedCalls;
  /** Whether any byte has arrived on its connection. */
  hasReceived(): boolean;
};

/**
 * Opens a request, which waits for a connection of its agent. Undefined: Node.js
 * accepts neither headers nor a path with control characters, as those may have
 * that come from the body of an earlier response.
 */
export function openRequest(
  options: ReplicaRequest,
  { host, port }: { readonly host: string; readonly port: number },
): OpenRequest | undefined {
  const { method, path, agent } = options;
  const headers = withFraming(options) as unknown as Record<string, string>;
  const requestOptions: RequestOptions = {
    host,
    port,
    method,
    path,
    headers,
    agent,
    setHost: false,
  };
  try {
    const clientRequest = request(requestOptions);
    limitHead(clientRequest);
    return { clientRequest, ...recordConnection(clientRequest, options) };
  } catch {
    return undefined;
  }
}

/** Records the call on its connection once it has one. */
function recordConnection(
  clientRequest: ClientRequest,
  { id }: ReplicaRequest,
): Pick<OpenRequest, "carried" | "hasReceived"> {
  let carried: CarriedCalls = { connection: 0, count: 0, hasSameId: false };
  let hasReceived = () => false;
  clientRequest.once("socket", (socket) => {
    carried = noteCarriedCall(socket, id);
    const { bytesRead } = socket;
    hasReceived = () => socket.bytesRead > bytesRead;
  });
  return { carried: () => carried, hasReceived: () => hasReceived() };
}

/** Closes the connection when too many bytes arrive that are no response. */
function limitHead(clientRequest: ClientRequest): void {
  let length = 0;
  let hasResponse = false;
  const count = (chunk: Buffer) => {
    length += chunk.length;
    if (hasResponse || length <= MAX_HEAD_BYTES) return;
    clientRequest.destroy(new Error("Response head too long"));
  };
  clientRequest.on("socket", (socket) => {
    const stop = () => {
      hasResponse = true;
      socket.off("data", count);
    };
    socket.on("data", count);
    clientRequest.once("response", stop);
    clientRequest.once("close", stop);
  });
}

/** Adds `Host`, if it is missing, and the `Content-Length` of the body. */
function withFraming(options: ReplicaRequest): string[] {
  const { headers, method, body } = options;
  const withHost = hasHeader(headers, "host")
    ? [...headers]
    : ["Host", options.address, ...headers];
  const omitsLength = body.length === 0 &&
    (method === "GET" || method === "HEAD");
  if (omitsLength) return withHost;
  return [...withHost, "Content-Length", String(body.length)];
}

function hasHeader(headers: readonly string[], name: string): boolean {
  return headers.some((text, index) =>
    index % 2 === 0 && text.toLowerCase() === name
  );
}
