/** One HTTP call to a replica, with what is certain about it. */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import { parseAddress } from "../../util/address.ts";
import type { Clock } from "../clock.ts";
import { isRefusal } from "./probe.ts";

/**
 * A call over a kept connection that ends so soon met a connection which the
 * replica had closed already: its close was on its way. One way there and back
 * is 2 ms within a region; what crashes a replica takes 20 ms and more.
 */
const STALE_MS = 10;

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
  /**
   * Asked once there is a connection, which a call may have waited for; false:
   * nothing is sent. Absent: it is sent.
   */
  readonly mayGo?: () => boolean;
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
  | {
    readonly type: "notSent";
    readonly reason: string;
    /** Nothing listens at the address. */
    readonly isRefused: boolean;
    /** `mayGo` said no. */
    readonly isWithheld: boolean;
  }
  /** It was sent, at least in part, and no answer came. */
  | {
    readonly type: "broken";
    readonly reason: string;
    /** This host ended it. */
    readonly isAborted: boolean;
    /** Its kept connection was surely closed before the request came. */
    readonly isStale: boolean;
  };

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
  const sending = open(source, place);
  let connected = false;
  let failed = false;
  let isAborted = false;
  let isWithheld = false;
  const startedAt = source.clock.now();
  const broken = (reason: string) => {
    const isSoon = source.clock.now() - startedAt < STALE_MS;
    const isStale = isSoon && sending.reusedSocket;
    return { type: "broken", reason, isAborted, isStale } as const;
  };
  const notSent = (reason: string, isRefused: boolean) =>
    ({ type: "notSent", reason, isRefused, isWithheld }) as const;
  const cancelTimer = source.clock.after(source.connectTimeoutMs, () => {
    if (!connected) sending.destroy(new Error("No connection in time"));
  });
  watchSocket(sending, {
    onConnected: () => {
      cancelTimer();
      connected = source.mayGo?.() ?? true;
      isWithheld = !connected;
      if (isWithheld) sending.destroy();
    },
    onReset: () => failed = true,
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
      const reason = error.message;
      resolve(connected ? broken(reason) : notSent(reason, isRefusal(error)));
    });
    sending.on("close", () => {
      cancelTimer();
      const reason = "The connection closed";
      resolve(connected ? broken(reason) : notSent(reason, false));
    });
  });
  sending.end(source.body.length > 0 ? source.body : undefined);
  return {
    outcome,
    abort: (reason) => {
      isAborted = true;
      sending.destroy(new Error(reason));
    },
  };
}

function open(
  source: CallSource,
  { host, port }: { readonly host: string; readonly port: number },
): ClientRequest {
  const { method, path, agent } = source;
  const headers = framed(source) as unknown as Record<string, string>;
  return request({ host, port, method, path, headers, agent, setHost: false });
}

/** Tells when a call's connection stands, and when it was reset. */
function watchSocket(
  sending: ClientRequest,
  on: { onConnected(): void; onReset(): void },
): void {
  sending.on("socket", (socket) => {
    const onEnd = () => {
      // A reset that comes right behind the last bytes reads as an end; but
      // a connection that was reset has no peer any more (getpeername(2)).
      if (socket.remoteAddress === undefined) on.onReset();
    };
    socket.prependListener("end", onEnd);
    sending.once("close", () => socket.off("end", onEnd));
    if (!socket.connecting) return on.onConnected();
    socket.setNoDelay(true);
    socket.once("connect", () => on.onConnected());
  });
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
    outcome: Promise.resolve({
      type: "notSent",
      reason,
      isRefused: false,
      isWithheld: false,
    }),
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
