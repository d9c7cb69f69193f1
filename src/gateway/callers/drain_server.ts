/** Stops the callers' server without losing responses. */
import type { Server } from "node:http";
import { Server as NetServer } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import { type Clock, sleep } from "../clock.ts";
import type { OpenReplies } from "./open_replies.ts";

const CLOSE_CHECK_INTERVAL_MS = 50;

/**
 * Stops accepting connections, closes idle ones, and waits until the deadline
 * for the others to close. What has not been sent by then is aborted: the
 * connections of a process that exits end in order, as if they were complete.
 */
export async function drainServer(
  server: Server,
  replies: OpenReplies,
  { clock, deadline }: {
    readonly clock: Clock;
    readonly deadline: Milliseconds;
  },
): Promise<void> {
  let isClosed = false;
  // The method of the HTTP server also closes idle connections.
  NetServer.prototype.close.call(server, () => isClosed = true);
  while (!isClosed && clock.now() < deadline) {
    // For Node.js a connection is idle once its last response has ended,
    // although bytes of it may not have been sent.
    if (!replies.hasUnsent) server.closeIdleConnections();
    await sleep(clock, CLOSE_CHECK_INTERVAL_MS);
  }
  replies.abortUnsent();
}
