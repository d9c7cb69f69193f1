/** One request of a caller. */
import {
  type Agent,
  type ClientRequest,
  type IncomingMessage,
  request,
} from "node:http";
import { promptHeader } from "../platform/prompt_header.ts";
import { Framing } from "../platform/response_standin.ts";
import { isAtEventEnd } from "../platform/stream_standin.ts";

/** The route that a request uses. */
export const CallKind = {
  safe: "safe",
  unsafe: "unsafe",
  /** A stream that runs at most once. */
  stream: "stream",
  /** A stream that another replica may resume. */
  resumable: "resumable",
} as const;
/** One of the values of {@link CallKind}. */
export type CallKind = typeof CallKind[keyof typeof CallKind];

/** The result of one request at its caller. */
export type CallResult = {
  readonly id: string;
  readonly kind: CallKind;
  readonly host: string;
  readonly sentAtMs: number;
  readonly endedAtMs: number;
  /** 0 if no response headers arrived. */
  readonly status: number;
  readonly seal: string;
  readonly body: string;
  readonly framing: Framing;
  /**
   * The response looks whole to the caller: as its framing says, or it ended in
   * order with its connection and, for a stream, with an event.
   */
  readonly isComplete: boolean;
  /** The caller closed the connection before the response ended. */
  readonly isAborted: boolean;
  /** When its last byte was sent; absent if it was not sent as a whole. */
  readonly wholeAtMs?: number;
  /** Absent for a new request. */
  readonly resumption?: Resumption;
};

/** How a caller resumes a stream that broke. */
export type Resumption = {
  /** The attempt that brought the first event of the stream. */
  readonly firstAttempt: string;
  /** The last event that arrived completely. */
  readonly lastEvent: number;
};

const REQUEST_TIMEOUT_MS = 5000;
const ABORT_AFTER_MS = 300;
/** Several times the longest gap between two events of a sound replica. */
const MAX_SILENCE_MS = 600;

/** Options of {@link callOnce}. */
export type CallOptions = {
  readonly agent: Agent;
  readonly host: { readonly name: string; readonly address: string };
  readonly id: string;
  readonly kind: CallKind;
  /** The body unless the request is safe. */
  readonly body: string;
  /** Closes the connection after 0.3 s. */
  readonly abortsEarly: boolean;
  /** Closes the connection when a response is silent for long. */
  readonly isImpatient?: boolean;
  readonly resumption?: Resumption;
  /** Ids of the parts of its prompt before its own, which is the last one. */
  readonly promptParts?: readonly string[];
  /** Its deadline, when the caller gives up; 5 s by default. */
  readonly timeoutMs?: number;
  /** From the head to the end of the body, which is sent in chunks then. */
  readonly bodyAfterMs?: number;
  /** From the response's head until the caller reads on; 0 by default. */
  readonly readsAfterMs?: number;
};

/** Sends one request; never rejects. */
export function callOnce(options: CallOptions): Promise<CallResult> {
  const { agent, host, id, kind, abortsEarly, resumption } = options;
  const { promptParts = [], timeoutMs = REQUEST_TIMEOUT_MS } = options;
  const requestBody = kind === CallKind.safe ? undefined : options.body;
  const [ip, port] = host.address.split(":");
  const sentAtMs = performance.now();
  return new Promise((resolve) => {
    let response: IncomingMessage | undefined;
    let body = "";
    let isAborted = false;
    let isReset = false;
    let isUnread = false;
    let isConnected = false;
    let wholeAtMs: number | undefined;
    const outgoing = request({
      host: ip,
      port,
      agent,
      method: kind === CallKind.safe ? "GET" : "POST",
      path: `/${kind}/x`,
      headers: {
        host: "example",
        "attempt-id": id,
        "token-counts": "100,20",
        "prompt-prefix": promptHeader([...promptParts, id]),
        "deadline-remaining-ms": String(timeoutMs),
        ...(resumption && resumptionHeaders(resumption)),
      },
    });
    const abortAfter = (afterMs: number) =>
      setTimeout(() => {
        isAborted = true;
        isUnread = !response?.readableEnded;
        outgoing.destroy();
      }, afterMs);
    const timers = [abortAfter(timeoutMs)];
    if (abortsEarly) timers.push(abortAfter(ABORT_AFTER_MS));
    // A request "finishes" even if its connection is refused.
    outgoing.on("socket", (socket) => {
      isConnected = !socket.connecting;
      if (socket.connecting) socket.once("connect", () => isConnected = true);
    });
    outgoing.on("error", () => isReset = true);
    onConnectionReset(outgoing, () => isReset = true);
    outgoing.on("response", (message) => {
      response = message;
      message.on("error", () => undefined);
      message.on("data", (bytes: Buffer) => body += bytes.toString());
      if (options.readsAfterMs) {
        message.pause();
        timers.push(setTimeout(() => message.resume(), options.readsAfterMs));
      }
      if (options.isImpatient) {
        message.setTimeout(MAX_SILENCE_MS, () => outgoing.destroy());
      }
    });
    const finish = () => {
      for (const timer of timers) clearTimeout(timer);
      const framing = framingOf(response);
      const isWhole = framing !== Framing.none ||
        !isReset && (!isStream(kind) || isAtEventEnd(body));
      resolve({
        id,
        kind,
        host: host.name,
        sentAtMs,
        endedAtMs: performance.now(),
        status: response?.statusCode ?? 0,
        seal: String(response?.headers["server-seal"] ?? ""),
        body,
        framing,
        isComplete: isWhole && (response?.complete ?? false) && !isUnread,
        isAborted,
        ...(isConnected && wholeAtMs !== undefined && { wholeAtMs }),
        ...(resumption && { resumption }),
      });
    };
    outgoing.on("close", () => {
      // The connection may close before its last bytes have been read.
      if (!options.readsAfterMs || !response?.complete) return finish();
      if (isAborted || response.readableEnded) return finish();
      response.once("end", finish).resume();
    });
    const end = (lastBytes: string | undefined) => {
      outgoing.end(lastBytes);
      wholeAtMs = performance.now();
    };
    if (requestBody === undefined || !options.bodyAfterMs) {
      return end(requestBody);
    }
    outgoing.write(requestBody.slice(0, 1));
    timers.push(setTimeout(end, options.bodyAfterMs, requestBody.slice(1)));
  });
}

/** Whether requests of this kind are answered with streams. */
export function isStream(kind: CallKind): boolean {
  return kind === CallKind.stream || kind === CallKind.resumable;
}

function framingOf(response: IncomingMessage | undefined): Framing {
  const headers = response?.headers ?? {};
  if (headers["transfer-encoding"] !== undefined) return Framing.chunks;
  return headers["content-length"] === undefined
    ? Framing.none
    : Framing.length;
}

/**
 * Calls `onReset` when the connection of a request is reset. A reset right after
 * the last bytes is reported as an end, but a reset connection has no peer
 * address any more (getpeername(2)).
 */
function onConnectionReset(outgoing: ClientRequest, onReset: () => void): void {
  outgoing.on("socket", (socket) => {
    const onEnd = () => {
      if (socket.remoteAddress === undefined) onReset();
    };
    socket.prependListener("end", onEnd);
    outgoing.once("close", () => socket.off("end", onEnd));
  });
}

function resumptionHeaders(
  { firstAttempt, lastEvent }: Resumption,
): Record<string, string> {
  return { "last-event-id": String(lastEvent), "resumes": firstAttempt };
}
