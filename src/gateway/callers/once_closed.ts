/** Notices the end of a response, also of one that waits behind another. */
import type { IncomingMessage, ServerResponse } from "node:http";

/**
 * Calls `work` once the response has ended or its connection has closed. Node
 * reports a closed connection to the first of several pipelined responses only.
 */
export function onceClosed(
  { socket }: IncomingMessage,
  response: ServerResponse,
  work: () => void,
): void {
  let isDone = false;
  const finish = () => {
    if (isDone) return;
    isDone = true;
    response.off("close", finish);
    socket.off("close", finish);
    work();
  };
  if (response.destroyed || socket.destroyed) return finish();
  response.on("close", finish);
  socket.on("close", finish);
}
