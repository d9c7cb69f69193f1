/**
 * Callers that have ended their side of a connection. HTTP allows them to read
 * on (RFC 9112, 9.6), but one that has closed its connection looks the same
 * until something is written to it.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import { resetSocket } from "../../util/reset_socket.ts";
import type { Clock } from "../clock.ts";
import { onceClosed } from "./once_closed.ts";

/**
 * The first write to a closed connection makes its other end reset it, and the
 * second one fails. The delay is well above a round trip within a region.
 */
const FIRST_DELAY_MS = 10;
const MAX_DELAY_MS = 1000;

/** Makes a server answer requests of half-closed connections. */
export function serveHalfClosed(server: Server): void {
  // Without this property, which has no type, Node.js ends the connection.
  Object.assign(server, { httpAllowHalfOpen: true });
}

/** Options of {@link watchHalfClosed}. */
export type HalfClosedOptions = {
  readonly clock: Pick<Clock, "after">;
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
};

/**
 * Notices callers that are gone. One that ends its side while its response is
 * sent is taken for gone: those that read on do it behind their request.
 */
export function watchHalfClosed(options: HalfClosedOptions): void {
  const { incoming, response } = options;
  const { socket } = incoming;
  let cancel = () => {};
  const onEnd = () => {
    if (!response.headersSent) cancel = probe(options);
    else if (!response.writableEnded) resetSocket(socket);
  };
  if (socket.readableEnded) onEnd();
  else socket.once("end", onEnd);
  onceClosed(incoming, response, () => {
    socket.off("end", onEnd);
    cancel();
  });
}

/**
 * Writes interim responses to a caller until its response begins. Callers have to
 * accept any number of them (RFC 9110, 15.2), but those that use HTTP/1.0 don't
 * know them. Returns a function that ends this.
 */
function probe({ clock, incoming, response }: HalfClosedOptions): () => void {
  const hasInterim = incoming.httpVersion !== "1.0";
  const write = (delayMs: Milliseconds) => {
    if (response.headersSent) {
      cancel = clock.after(delayMs, () => destroyIfReset(incoming));
      return;
    }
    if (hasInterim) response.writeContinue();
    const nextDelayMs = Math.min(2 * delayMs, MAX_DELAY_MS);
    cancel = clock.after(delayMs, () => write(nextDelayMs));
  };
  let cancel = () => {};
  write(FIRST_DELAY_MS);
  return () => cancel();
}

/** A reset is not reported once the other end has ended its side. */
function destroyIfReset({ socket }: IncomingMessage): void {
  // A reset connection has no peer address any more (getpeername(2)). Node.js
  // keeps an address that was read, so this works once.
  if (socket.remoteAddress === undefined) socket.destroy();
}
