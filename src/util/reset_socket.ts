/** Resets of TCP connections. */
import type { Socket } from "node:net";

/**
 * Resets a connection, so that its other end doesn't take it for an orderly end.
 * If it is being shut down, it is reset afterwards: Node.js fails to reset such
 * a connection (EINVAL), leaves it open, and then doesn't exit.
 */
export function resetSocket(socket: Socket): void {
  const { writableEnded, writableFinished, writableLength } = socket;
  const isShuttingDown = writableEnded && !writableFinished &&
    writableLength === 0;
  if (!isShuttingDown) return void socket.resetAndDestroy();
  socket.once("finish", () => socket.resetAndDestroy());
}
