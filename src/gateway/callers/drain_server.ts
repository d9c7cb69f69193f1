/** Stops the callers' server without losing requests or responses. */
import type { Server } from "node:http";
import { Server as NetServer } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import { type Clock, sleep } from "../clock.ts";
import type { OpenReplies } from "./open_replies.ts";

const CLOSE_CHECK_INTERVAL_MS = 50;

/** Options of {@link drainServer}. */
export type DrainServerOptions = {
  readonly clock: Clock;
  readonly deadline: Milliseconds;
};

/**
 * Stops accepting connections, closes idle ones, and waits until the deadline
 * for the others to close. What has not been sent by then is aborted: the
 * connections of a process that exits end in order, as if they were complete.
 */
export async function drainServer(
  server: Server,
  replies: OpenReplies,
  options: DrainServerOptions,
): Promise<void> {
  const { clock, deadline } = options;
  const untilQuiet = watchArrivals(server, options);
  let isClosed = false;
  await untilQuiet();
  // The method of the HTTP server also closes idle connections.
  NetServer.prototype.close.call(server, () => isClosed = true);
  while (!isClosed && clock.now() < deadline) {
    // For Node.js a connection is idle once its last response has ended,
    // although bytes of it may not have been sent.
    if (!replies.hasUnsent) server.closeIdleConnections();
    await sleep(clock, CLOSE_CHECK_INTERVAL_MS);
    await untilQuiet();
  }
  replies.abortUnsent();
}

/**
 * Returns a function that waits for an iteration of the event loop in which
 * callers have sent nothing. What they sent before has been read then; it would
 * be lost with a connection that waits to be accepted, or looks idle.
 */
function watchArrivals(
  server: Server,
  { clock, deadline }: DrainServerOptions,
): () => Promise<void> {
  let arrivals = 0;
  for (const name of ["connection", "request", "drop"]) {
    server.on(name, () => arrivals += 1);
  }
  return async () => {
    // The loop may be in the middle of an iteration.
    await iterationEnd();
    let before: number;
    do {
      before = arrivals;
      await iterationEnd();
    } while (arrivals !== before && clock.now() < deadline);
  };
}

/**
 * Resolves after the event loop has read its connections: it calls timers before
 * it reads, and immediates after that.
 */
export function iterationEnd(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}
