/** Joins the small chunks of a caller's body as they arrive. */
import type { IncomingMessage } from "node:http";
import { ByteCollector } from "../memory/byte_collector.ts";

/** Larger parts are passed on as they are. */
const MIN_PART_BYTES = 4096;
/** Passed on at once, so that a caller that sends more is held up. */
const MAX_JOINED_BYTES = 16 * 1024;

/**
 * Passes the parts of a body on in few buffers. Node.js passes on each chunk in a
 * buffer whose object takes hundreds of bytes, also while the request waits
 * behind others on its connection. Must be called before the body arrives. Unlike
 * `coalesceBody`, copies at once: a server runs the callbacks of each chunk as a
 * turn of its own, so that the end of a read can't be told by a tick.
 */
export function joinChunks(message: IncomingMessage): void {
  const push = message.push.bind(message);
  const joined = new ByteCollector();
  let isScheduled = false;
  const flush = () => {
    let hasRoom = true;
    if (message.destroyed) joined.take();
    for (const part of joined.take()) hasRoom = push(part);
    return hasRoom;
  };
  const flushLater = () => {
    isScheduled = false;
    if (!flush()) message.socket.pause();
  };
  message.push = (part: unknown) => {
    if (!Buffer.isBuffer(part)) {
      flush();
      return push(part);
    }
    if (part.length >= MIN_PART_BYTES) {
      const hasRoom = flush();
      return push(part) && hasRoom;
    }
    joined.push(part);
    if (joined.length >= MAX_JOINED_BYTES) return flush();
    if (!isScheduled) setImmediate(flushLater);
    isScheduled = true;
    return true;
  };
}
