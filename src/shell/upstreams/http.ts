/** One HTTP call with Node's client: connects, sends, reads the answer. */
import {
  Agent,
  type ClientRequest,
  type IncomingMessage,
  request as httpRequest,
} from "node:http";
import { parseAddress } from "../../util/address.ts";

/** A call to make. */
export type HttpCall = {
  /** `IP:port`. */
  readonly address: string;
  readonly method: "GET" | "POST" | "PUT";
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly connectTimeoutMs: number;
  /** Silence after which the call is given up. */
  readonly silenceTimeoutMs?: number;
};

/** Why a call failed. */
export class HttpFailure extends Error {
  /** True when no byte of the request can have left. */
  readonly unsent: boolean;
  constructor(message: string, unsent: boolean) {
    super(message);
    this.unsent = unsent;
  }
}

/** Connections to all upstreams; kept open between calls. */
const agent = new Agent({ keepAlive: true, maxSockets: 1024 });

/** Starts a call and gives the head of its answer. */
export function openCall(call: HttpCall): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const to = parseAddress(call.address);
    if (!to) return reject(new HttpFailure("No address", true));
    let connected = false;
    const request = httpRequest({
      host: to.host,
      port: to.port,
      method: call.method,
      path: call.path,
      headers: headersOf(call),
      agent,
    });
    const connecting = setTimeout(() => {
      request.destroy(new HttpFailure("Connecting took too long", true));
    }, call.connectTimeoutMs);
    watchConnection(request, () => {
      connected = true;
      clearTimeout(connecting);
    });
    if (call.silenceTimeoutMs !== undefined) {
      request.setTimeout(call.silenceTimeoutMs, () => {
        request.destroy(new HttpFailure("No answer in time", false));
      });
    }
    request.on("response", resolve);
    request.on("error", (error) => {
      clearTimeout(connecting);
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

/** The answer's whole body. */
export async function readText(answer: IncomingMessage): Promise<string> {
  answer.setEncoding("utf8");
  let text = "";
  for await (const part of answer) text += part;
  return text;
}

/** Makes a call and reads its whole answer. */
export async function callText(
  call: HttpCall,
): Promise<{ readonly status: number; readonly text: string }> {
  const answer = await openCall(call);
  const text = await readText(answer);
  return { status: answer.statusCode ?? 0, text };
}
