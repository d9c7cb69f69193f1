/** Joins the small parts of a response's body that arrive in one read. */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../util/units.ts";

/** Larger parts are passed on as they are. */
const MIN_PART_BYTES = 4096;

/** What one read of a connection brought of a body. */
export type BodyRead = {
  readonly parts: number;
  readonly bytes: number;
  /** Time for which this process handled them. */
  readonly tookMs: Milliseconds;
};

/**
 * Passes the parts of a body on as one, up to the end of the read that they
 * arrived in, but for the first. Node.js passes on each chunk of its framing
 * alone: in a buffer whose object takes hundreds of bytes, to all listeners, and
 * into the queues of the message and of what it is forwarded to. `onRead` is
 * called at the end of each read.
 */
export function coalesceBody(
  message: IncomingMessage,
  onRead: (read: BodyRead) => void,
): void {
  const push = message.push.bind(message);
  let parts: Buffer[] = [];
  let read = { parts: 0, bytes: 0, startedAt: 0 };
  const flush = () => {
    if (parts.length === 0) return true;
    const joined = Buffer.concat(parts);
    parts = [];
    return message.destroyed || push(joined);
  };
  const onReadEnd = () => {
    if (!flush()) message.socket.pause();
    const { startedAt, ...received } = read;
    read = { parts: 0, bytes: 0, startedAt: 0 };
    onRead({ ...received, tookMs: performance.now() - startedAt });
  };
  message.push = (part: unknown) => {
    if (!Buffer.isBuffer(part)) {
      flush();
      return push(part);
    }
    read.parts += 1;
    read.bytes += part.length;
    if (read.parts === 1) {
      read.startedAt = performance.now();
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
