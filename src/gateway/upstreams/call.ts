/**
 * One HTTP call to an upstream replica. The outcome states whether the request
 * may have run.
 */
import type { ClientRequest, IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import { parseAddress } from "../../util/address.ts";
import type { Clock } from "../clock.ts";
import type { PeerProcess } from "../peers/peer_process.ts";
import type { CarriedCalls } from "./carried_calls.ts";
import { coalesceBody } from "./coalesce_body.ts";
import { BodyEnding, Framing, framingOf, hasUnknownCoding } from "./framing.ts";
import {
  type OpenRequest,
  openRequest,
  type ReplicaRequest,
} from "./open_request.ts";
import { paceBody } from "./pace_body.ts";
import { isRefusal } from "./probe.ts";

/**
 * When a reused connection ends this soon after the call was sent, and without a
 * byte, the replica had already closed it before the request arrived. The value
 * is above a round trip within a region and below the time in which a request can
 * crash a replica.
 */
const STALE_CONNECTION_MS = 10;

/** Lower statuses are those of interim responses (RFC 9110, 15.2). */
const MIN_FINAL_STATUS = 200;
/** Higher ones are invalid (RFC 9110, 15). */
const MAX_STATUS = 599;

const CLOSED = "Connection closed before a response";

/** Options of {@link startCall}. */
export type CallOptions = ReplicaRequest & {
  readonly clock: Clock;
  /** Time within which a new connection is open. */
  readonly connectTimeoutMs: Milliseconds;
  /**
   * Time for which the call waits for one of the agent's connections;
   * `connectTimeoutMs` by default.
   */
  readonly queueTimeoutMs?: Milliseconds;
  /**
   * Called once the call has a connection, for which it may have waited. If it
   * returns false, nothing is sent. Without it, the request is always sent.
   */
  readonly maySend?: () => boolean;
  /** Returns the peer that a connection goes through; by default, none. */
  readonly peerOf?: (socket: Socket) => PeerProcess | undefined;
};

/** A response whose headers have been received. */
export type Answer = {
  readonly message: IncomingMessage;
  readonly framing: Framing;
  /** The address that was called. */
  readonly address: string;
  /** The peer that the connection goes through. */
  readonly peer: PeerProcess | undefined;
  /** What the connection had carried before. */
  readonly carried: CarriedCalls;
  /** How the body ended; valid once the message is closed. */
  ending(): BodyEnding;
};

/** Why a call was not sent. */
export const NotSentCause = {
  /** No connection could be used. */
  notConnected: "notConnected",
  /** The connection was refused: nothing listens at the address. */
  refused: "refused",
  /** All connections that this host may have were in use. */
  queued: "queued",
  /** The check before sending did not allow it. */
  withheld: "withheld",
  /** The connection had carried a call with the same id. */
  idUsed: "idUsed",
  /** No replica could be sent this request. */
  invalid: "invalid",
} as const;
/** One of the values of {@link NotSentCause}. */
export type NotSentCause = typeof NotSentCause[keyof typeof NotSentCause];

/** Outcome of a call up to the headers of its response. */
export type CallOutcome =
  | { readonly type: "answer"; readonly answer: Answer }
  /** No byte of the request was sent. */
  | {
    readonly type: "notSent";
    readonly reason: string;
    readonly cause: NotSentCause;
    /** The code of the error, as in Node.js. */
    readonly code?: string | undefined;
    /**
     * Only this host failed to connect, and no other host was asked, so it says
     * nothing about the replica.
     */
    readonly isLocal?: boolean;
  }
  /** The request was sent, at least in part, but no response was received. */
  | {
    readonly type: "broken";
    readonly reason: string;
    /** This host aborted the call. */
    readonly isAborted: boolean;
    /** The reused connection was closed before the request arrived. */
    readonly isStale: boolean;
  };

/** A call in progress. */
export type Call = {
  readonly outcome: Promise<CallOutcome>;
  /** Closes the connection, which also makes the replica stop its work. */
  abort(reason: string): void;
};

/** A call that may wait for one of its agent's connections. */
export type QueuedCall = Call & { isQueued(): boolean };

/** Starts a call. */
export function startCall(options: CallOptions): QueuedCall {
  const target = parseAddress(options.address);
  if (!target) return failedCall(`Invalid address: ${options.address}`);
  const opened = openRequest(options, target);
  return opened ? sendOpened(options, opened) : invalidCall();
}

function sendOpened(options: CallOptions, opened: OpenRequest): QueuedCall {
  const { clientRequest } = opened;
  let isConnected = false;
  let hasFailed = false;
  let isAborted = false;
  let withheldBy: NotSentCause | undefined;
  let sentAt = options.clock.now();
  const broken = (reason: string) => {
    const isStale = wasStale(opened, options.clock.now() - sentAt);
    return { type: "broken", reason, isAborted, isStale } as const;
  };
  let settle: (outcome: CallOutcome) => void = () => undefined;
  const end = (reason: string) => {
    clientRequest.destroy(new Error(reason));
    // While a request waits for a connection, Node does not report its end.
    if (!isConnected) settle(notSent(reason, { withheldBy }));
  };
  const timer = limitConnectTime(options, (reason, cause) => {
    if (isConnected) return;
    withheldBy = cause;
    end(reason);
  });
  watchSocket(clientRequest, {
    onSocket: () => timer.noteSocket(),
    onConnected: () => {
      timer.cancel();
      sentAt = options.clock.now();
      withheldBy = causeToWithhold(options, opened);
      isConnected = withheldBy === undefined;
      if (!isConnected) clientRequest.destroy();
    },
    onReset: () => hasFailed = true,
  });
  const outcome = new Promise<CallOutcome>((resolve) => {
    settle = resolve;
    clientRequest.on("response", (message) => {
      const response = { opened, hasFailed: () => hasFailed };
      resolve(answered(message, options, response));
    });
    clientRequest.on("error", (error) => {
      hasFailed = true;
      timer.cancel();
      if (isConnected) resolve(broken(error.message));
      else resolve(notSent(error.message, { withheldBy, error }));
    });
    clientRequest.on("close", () => {
      timer.cancel();
      resolve(isConnected ? broken(CLOSED) : notSent(CLOSED, { withheldBy }));
    });
  });
  clientRequest.end(options.body.length > 0 ? options.body : undefined);
  return {
    outcome,
    abort: (reason) => {
      isAborted = true;
      timer.cancel();
      end(reason);
    },
    isQueued: () => timer.isQueued(),
  };
}

/** Why a call must not be sent over the connection that it has, if so. */
function causeToWithhold(
  { maySend }: CallOptions,
  { carried }: OpenRequest,
): NotSentCause | undefined {
  // A copy of the earlier response could not be told from the call's own.
  if (carried().hasSameId) return NotSentCause.idUsed;
  return maySend?.() === false ? NotSentCause.withheld : undefined;
}

/** Whether the replica had closed a connection that ends after `elapsedMs`. */
function wasStale(
  { carried, hasReceived }: OpenRequest,
  elapsedMs: Milliseconds,
): boolean {
  return carried().count > 0 && !hasReceived() &&
    elapsedMs < STALE_CONNECTION_MS;
}

/** Why a response can't be used, if so. */
function faultOf(message: IncomingMessage): string | undefined {
  const { statusCode = 0 } = message;
  // Node.js takes 101 for a final response.
  if (statusCode < MIN_FINAL_STATUS) return "No final response";
  if (statusCode > MAX_STATUS) return "Invalid status";
  return hasUnknownCoding(message) ? "Unknown transfer coding" : undefined;
}

function answered(
  message: IncomingMessage,
  { method, address, peerOf }: CallOptions,
  { opened, hasFailed }: {
    readonly opened: OpenRequest;
    readonly hasFailed: () => boolean;
  },
): CallOutcome {
  const reason = faultOf(message);
  if (reason !== undefined) {
    opened.clientRequest.destroy();
    return { type: "broken", reason, isAborted: true, isStale: false };
  }
  coalesceBody(message, paceBody(message));
  // Prevents an uncaught error; the reader of the body checks its ending.
  message.on("error", () => undefined);
  const framing = framingOf(message, method);
  const ending = () => {
    if (!message.complete) return BodyEnding.truncated;
    // A later failure is that of bytes behind the response.
    if (framing !== Framing.connection) return BodyEnding.complete;
    // Node's `complete` is also true for a body without framing whose
    // connection was reset.
    return hasFailed() ? BodyEnding.truncated : BodyEnding.unconfirmed;
  };
  const answer = {
    message,
    framing,
    address,
    peer: peerOf?.(message.socket),
    carried: opened.carried(),
    ending,
  };
  return { type: "answer", answer };
}

/**
 * Notifies `on` when a call has a connection, when that is open, and when it was
 * reset.
 */
function watchSocket(
  clientRequest: ClientRequest,
  on: { onSocket(): void; onConnected(): void; onReset(): void },
): void {
  clientRequest.on("socket", (socket) => {
    on.onSocket();
    const onEnd = () => {
      // A reset right after the last bytes is reported as an end, but a reset
      // connection has no peer address any more (getpeername(2)). Nothing may
      // read it before, since Node.js keeps it from then on.
      if (socket.remoteAddress === undefined) on.onReset();
    };
    socket.prependListener("end", onEnd);
    clientRequest.once("close", () => socket.off("end", onEnd));
    if (!socket.connecting) return on.onConnected();
    socket.setNoDelay(true);
    socket.once("connect", () => on.onConnected());
  });
}

function notSent(
  reason: string,
  { withheldBy, error }: {
    readonly withheldBy: NotSentCause | undefined;
    readonly error?: Error;
  },
): CallOutcome {
  const code = error && codeOf(error);
  const cause = withheldBy ?? causeOf(error);
  const isLocal = cause === NotSentCause.queued;
  return { type: "notSent", reason, cause, code, isLocal };
}

function causeOf(error: Error | undefined): NotSentCause {
  const isRefused = error !== undefined && isRefusal(error);
  return isRefused ? NotSentCause.refused : NotSentCause.notConnected;
}

function codeOf(error: Error): string | undefined {
  return "code" in error && typeof error.code === "string"
    ? error.code
    : undefined;
}

/** Limits how long a call waits for a connection, and then for it to open. */
function limitConnectTime(
  { clock, connectTimeoutMs, queueTimeoutMs = connectTimeoutMs }: CallOptions,
  onTimeout: (reason: string, cause?: NotSentCause) => void,
): { isQueued(): boolean; noteSocket(): void; cancel(): void } {
  let isQueued = true;
  // After a stall of this process the connection may be established, but not
  // yet handled.
  const after = (timeoutMs: Milliseconds, run: () => void) =>
    clock.after(timeoutMs, () => setImmediate(run));
  let cancel = after(queueTimeoutMs, () => {
    if (!isQueued) return;
    onTimeout("All connections were in use", NotSentCause.queued);
  });
  return {
    isQueued: () => isQueued,
    noteSocket: () => {
      isQueued = false;
      cancel();
      cancel = after(
        connectTimeoutMs,
        () => onTimeout("Connection timed out"),
      );
    },
    cancel: () => cancel(),
  };
}

/** A call that is not sent for the given reason. */
export function failedCall(
  reason: string,
  cause: NotSentCause = NotSentCause.notConnected,
): QueuedCall {
  return {
    outcome: Promise.resolve({ type: "notSent", reason, cause }),
    abort: () => undefined,
    isQueued: () => false,
  };
}

/** A call that can't be sent to any replica. */
function invalidCall(): QueuedCall {
  return failedCall("Invalid header or path", NotSentCause.invalid);
}
