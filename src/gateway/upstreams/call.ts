/** One HTTP call to a replica, with what is certain about it. */
import { type Agent, type IncomingMessage, request } from "node:http";
import type { Milliseconds } from "../../core/ids.ts";
import { parseAddress } from "../../util/address.ts";
import type { Clock } from "../clock.ts";

/** What is sent. */
export type CallSource = {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  /** Name and value by turns. */
  readonly headers: readonly string[];
  readonly body: Buffer;
  readonly agent: Agent;
  readonly clock: Clock;
  readonly connectTimeoutMs: Milliseconds;
};

/** An answer whose head has come. */
export type Answer = {
  readonly message: IncomingMessage;
  /**
   * Once the message is closed: whether its body came whole. Node calls a
   * body without a length complete also when its connection was reset.
   */
  intact(): boolean;
};

/** How a call went up to the head of its answer. */
export type CallOutcome =
  | { readonly type: "answer"; readonly answer: Answer }
  /** No byte of the request has left. */
  | { readonly type: "notSent"; readonly reason: string }
  /** It was sent, at least in part, and no answer came. */
  | { readonly type: "broken"; readonly reason: string };

/** A call under way. */
export type Call = {
  readonly outcome: Promise<CallOutcome>;
  /** Closes its connection, and so the replica's work. */
  abort(reason: string): void;
};

/** Starts a call. */
export function startCall(source: CallSource): Call {
  const place = parseAddress(source.address);
  if (!place) return unreachable(source.address);
  const sending = request({
    host: place.host,
    port: place.port,
    method: source.method,
    path: source.path,
    headers: framed(source) as unknown as Record<string, string>,
    agent: source.agent,
    setHost: false,
  });
  let connected = false;
  let failed = false;
  const cancelTimer = source.clock.after(source.connectTimeoutMs, () => {
    if (!connected) sending.destroy(new Error("No connection in time"));
  });
  sending.on("socket", (socket) => {
    const onEnd = () => {
      // A reset that comes right behind the last bytes reads as an end; but
      // a connection that was reset has no peer any more (getpeername(2)).
      if (socket.remoteAddress === undefined) failed = true;
    };
    socket.prependListener("end", onEnd);
    sending.once("close", () => socket.off("end", onEnd));
    const onConnected = () => {
      connected = true;
      cancelTimer();
    };
    if (!socket.connecting) return onConnected();
    socket.setNoDelay(true);
    socket.once("connect", onConnected);
  });
  const outcome = new Promise<CallOutcome>((resolve) => {
    sending.on("response", (message) => {
      // Errors of the body are seen by whoever reads it.
      message.on("error", () => undefined);
      const intact = () => message.complete && !failed;
      resolve({ type: "answer", answer: { message, intact } });
    });
    sending.on("error", (error) => {
      failed = true;
      cancelTimer();
      const type = connected ? "broken" : "notSent";
      resolve({ type, reason: error.message });
    });
    sending.on("close", () => {
      cancelTimer();
      const type = connected ? "broken" : "notSent";
      resolve({ type, reason: "The connection closed" });
    });
  });
  sending.end(source.body.length > 0 ? source.body : undefined);
  return {
    outcome,
    abort: (reason) => sending.destroy(new Error(reason)),
  };
}

/** Headers with the framing of a body that is held whole. */
function framed(source: CallSource): string[] {
  const { headers, method, body } = source;
  const named = hasHeader(headers, "host")
    ? [...headers]
    : ["Host", source.address, ...headers];
  const bare = body.length === 0 && (method === "GET" || method === "HEAD");
  if (bare) return named;
  return [...named, "Content-Length", String(body.length)];
}

function hasHeader(headers: readonly string[], name: string): boolean {
  return headers.some((one, at) => at % 2 === 0 && one.toLowerCase() === name);
}

function unreachable(address: string): Call {
  const reason = `No address: ${address}`;
  return {
    outcome: Promise.resolve({ type: "notSent", reason }),
    abort: () => undefined,
  };
}

/** Reads a body whole; undefined when it ends early or is too long. */
export function readWhole(
  answer: Answer,
  limit: number,
): Promise<string | undefined> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    const { message } = answer;
    message.on("data", (part: Buffer) => {
      length += part.length;
      if (length <= limit) parts.push(part);
      else message.destroy();
    });
    message.on("close", () => {
      const whole = answer.intact() && length <= limit;
      resolve(whole ? Buffer.concat(parts).toString("utf8") : undefined);
    });
  });
}
