/** HTTP calls with Node's client. */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { parseAddress } from "../../util/address.ts";

/** Parameters of a call. */
export type HttpCall = {
  /** `IP:port`. */
  readonly address: string;
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly connectTimeoutMs: number;
  /** Idle timeout of the call. */
  readonly silenceTimeoutMs?: number;
};

/** Failure of a call. */
export class HttpFailure extends Error {
  /** Whether no byte of the request can have been sent. */
  readonly unsent: boolean;
  constructor(message: string, unsent: boolean) {
    super(message);
    this.unsent = unsent;
  }
}

/** Pool of keep-alive connections. */
const agent = new Agent({ keepAlive: true, maxSockets: 1024 });

/** Starts a call and resolves with the response's headers. */
export function openCall(call: HttpCall): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const address = parseAddress(call.address);
    if (!address) {
      return reject(new HttpFailure("missing or invalid address", true));
    }
    let connected = false;
    const request = httpRequest({
      host: address.host,
      port: address.port,
      method: call.method,
      path: call.path,
      headers: headersOf(call),
      agent,
    });
    const connectTimer = setTimeout(() => {
      request.destroy(new HttpFailure("connect timed out", true));
    }, call.connectTimeoutMs);
    watchConnection(request, () => {
      connected = true;
      clearTimeout(connectTimer);
    });
    if (call.silenceTimeoutMs !== undefined) {
      request.setTimeout(call.silenceTimeoutMs, () => {
        request.destroy(new HttpFailure("response timed out", false));
      });
    }
    request.on("response", resolve);
    request.on("error", (error) => {
      clearTimeout(connectTimer);
      if (error instanceof HttpFailure) return reject(error);
      reject(new HttpFailure(error.message, !connected));
    });
    request.end(call.body);
  });
}

function headersOf(call: HttpCall): Record<string, string> {
  if (call.body === undefined) return { ...call.headers };
  return {
    "content-type": "application/json",
    "content-length": String(Buffer.byteLength(call.body)),
    ...call.headers,
  };
}

function watchConnection(request: ClientRequest, onConnect: () => void): void {
  request.on("socket", (socket) => {
    if (socket.connecting) socket.once("connect", onConnect);
    else onConnect();
  });
}

/** Reads the complete body of a response. */
export async function readText(response: IncomingMessage): Promise<string> {
  response.setEncoding("utf8");
  let text = "";
  for await (const part of response) text += part;
  return text;
}

/** Makes a call and reads the complete response. */
export async function callText(
  call: HttpCall,
): Promise<{ readonly status: number; readonly text: string }> {
  const response = await openCall(call);
  const text = await readText(response);
  return { status: response.statusCode ?? 0, text };
}
