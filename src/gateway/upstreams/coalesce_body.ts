/** Joins the small parts of a response's body that arrive in one read. */
import type { IncomingMessage } from "node:http";

/** Larger parts are passed on as they are. */
const MIN_PART_BYTES = 4096;

/**
 * Passes the parts of a body on as one, up to the end of the read that they
 * arrived in, but for the first. Node.js passes on each chunk of its framing
 * alone: in a buffer whose object takes hundreds of bytes, to all listeners, and
 * into the queues of the message and of what it is forwarded to.
 */
export function coalesceBody(message: IncomingMessage): void {
  const push = message.push.bind(message);
  let parts: Buffer[] = [];
  let isFirst = true;
  const flush = () => {
    if (parts.length === 0) return true;
    const joined = Buffer.concat(parts);
    parts = [];
    return message.destroyed || push(joined);
  };
  const onReadEnd = () => {
    isFirst = true;
    if (!flush()) message.socket.pause();
  };
  message.push = (part: unknown) => {
    if (!Buffer.isBuffer(part)) {
      flush();
      return push(part);
    }
    if (isFirst) {
      isFirst = false;
      process.nextTick(onReadEnd);
      return push(part);
    }
    if (part.length >= MIN_PART_BYTES) {
      const hasRoom = flush();
      return push(part) && hasRoom;
    }
    parts.push(part);
    return true;
  };
}
