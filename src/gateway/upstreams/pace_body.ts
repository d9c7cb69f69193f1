/** Delays the reading of a response while long reads take too much time. */
import type { IncomingMessage } from "node:http";
import type { Milliseconds } from "../../util/units.ts";
import type { BodyRead } from "./coalesce_body.ts";
import { ReadPacer } from "./read_pacer.ts";

/** Shared by all responses: they share one event loop. */
const PACER = new ReadPacer();
/** At least the resolution of a timer, for others' work between two reads. */
const MIN_DELAY_MS: Milliseconds = 1;
/** Reads below both are those of ordinary responses and streams. */
const MIN_LONG_BYTES = 32 * 1024;
const MIN_LONG_PARTS = 256;
/** What the system copies before the read is handled. */
const RECEIVED_BYTES_PER_MS = 250_000;

let timer: NodeJS.Timeout | undefined;

/**
 * Paces a response whose body has not been read yet; returns what to call after
 * each read.
 */
export function paceBody(message: IncomingMessage): (read: BodyRead) => void {
  const read = message._read.bind(message);
  let isWaiting = false;
  let spentMs: Milliseconds = 0;
  let endWait = () => {};
  message.once("close", () => endWait());
  // Node.js resumes the socket whenever the message may take more.
  message._read = (size) => {
    if (!isWaiting) read(size);
  };
  const resume = () => {
    isWaiting = false;
    if (!message.destroyed) read(0);
  };
  return ({ parts, bytes, tookMs }) => {
    if (parts < MIN_LONG_PARTS && bytes < MIN_LONG_BYTES) return;
    const readMs = tookMs + bytes / RECEIVED_BYTES_PER_MS;
    spentMs += readMs;
    const mustWait = PACER.charge(readMs, performance.now());
    const hasEnded = message.complete || message.destroyed;
    if (!mustWait || hasEnded || isWaiting) return;
    isWaiting = true;
    message.socket.pause();
    endWait = PACER.wait(resume, spentMs);
    schedule();
  };
}

/** Resumes those that wait, one in each turn of the event loop. */
function schedule(): void {
  const delayMs = PACER.delayMs(performance.now());
  if (timer !== undefined || delayMs === undefined) return;
  timer = setTimeout(() => {
    timer = undefined;
    PACER.resumeNext(performance.now());
    schedule();
  }, Math.max(MIN_DELAY_MS, delayMs));
}
