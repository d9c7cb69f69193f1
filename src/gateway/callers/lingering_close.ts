/**
 * Closes connections without losing responses. A socket that is closed while
 * bytes from its caller are unread is reset, and the caller may lose responses
 * that it hasn't read yet (RFC 9112, 9.6).
 */
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/units.ts";
import type { Clock } from "../clock.ts";

/** Time in which a caller may close its side of an ended connection. */
const LINGER_MS: Milliseconds = 1000;

/**
 * Makes Node's server end a connection, after a response that is its last, and
 * discard what its caller still sends. It is closed when the caller has ended
 * its side, or after a second.
 */
export function lingerOnClose(
  socket: Socket,
  { after }: Pick<Clock, "after">,
): void {
  let isClosing = false;
  // Node calls this when the last response of a connection has been sent.
  socket.destroySoon = () => {
    if (isClosing) return;
    isClosing = true;
    const linger = () => {
      const cancel = after(LINGER_MS, () => socket.destroy());
      socket.once("close", cancel);
    };
    if (socket.writableFinished) return linger();
    socket.once("finish", linger);
    socket.end();
    socket.resume();
  };
}
