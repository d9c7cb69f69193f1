/** Splits a stream of server-sent events at event boundaries. */
import { ByteCollector } from "../memory/byte_collector.ts";

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = "id:";
const DATA_FIELD = /^data(:|$)/;
const LINE_END = /\r\n|\n|\r/;
/** A stream may begin with one. */
const BYTE_ORDER_MARK = Buffer.from([0xef, 0xbb, 0xbf]);

/** Complete events from the front of a stream, and the id of the last one. */
export type CompleteEvents = {
  readonly bytes: Buffer;
  /** Undefined if none of the events has an id. */
  readonly lastId: string | undefined;
  /** Whether events without an id stand behind the last one that has one. */
  readonly endsWithoutId: boolean;
};

/** Splits complete events off a stream and buffers the rest. */
export class EventSplitter {
  /** The incomplete event at the end. */
  readonly #buffered = new ByteCollector();

  /** Number of bytes of the incomplete event at the end. */
  get remainingBytes(): number {
    return this.#buffered.length;
  }

  /** Bytes of the incomplete event at the end. */
  get remainder(): Buffer {
    return this.#buffered.bytes();
  }

  /**
   * Adds a part and returns the events that it completes, if any; `endInPart`
   * is the offset after the last of them, undefined if it completes none.
   */
  push(
    part: Buffer,
    endInPart: number | undefined,
  ): CompleteEvents | undefined {
    if (endInPart === undefined) {
      this.#buffered.push(part);
      return undefined;
    }
    const end = part.subarray(0, endInPart);
    const bytes = this.#buffered.length === 0
      ? end
      : Buffer.concat([...this.#buffered.take(), end]);
    if (endInPart < part.length) this.#buffered.push(part.subarray(endInPart));
    const idAt = lastIdAt(bytes);
    const lastId = idAt < 0 ? undefined : idOf(bytes, idAt);
    return { bytes, lastId, endsWithoutId: hasDataBehind(bytes, idAt) };
  }
}

/**
 * Returns the id of the first event whose `id` field begins in this part;
 * undefined if there is none.
 */
export function firstIdOf(part: Buffer): string | undefined {
  let at = part.indexOf(ID_FIELD);
  while (at >= 0 && !isLineStart(part, at)) at = part.indexOf(ID_FIELD, at + 1);
  return at < 0 ? undefined : idOf(part, at);
}

/** Returns the offset of the last `id` field; negative if there is none. */
function lastIdAt(bytes: Buffer): number {
  let at = bytes.lastIndexOf(ID_FIELD);
  while (at >= 0 && !isLineStart(bytes, at)) {
    at = at === 0 ? -1 : bytes.lastIndexOf(ID_FIELD, at - 1);
  }
  return at;
}

/** Returns the value of the `id` field at an offset. */
function idOf(bytes: Buffer, at: number): string {
  const from = at + ID_FIELD.length;
  let to = from;
  while (to < bytes.length && !isLineEnd(bytes[to])) to += 1;
  return bytes.toString("latin1", from, to).trim();
}

/**
 * Whether an event follows the one of the `id` field at `idAt`. Only those with
 * data are dispatched (HTML standard, 9.2.6).
 */
function hasDataBehind(bytes: Buffer, idAt: number): boolean {
  const lines = bytes.toString("latin1", Math.max(0, idAt)).split(LINE_END);
  const end = idAt < 0 ? 0 : lines.indexOf("");
  return lines.slice(end).some((line) => DATA_FIELD.test(line));
}

function isLineStart(bytes: Buffer, at: number): boolean {
  if (at === 0 || isLineEnd(bytes[at - 1])) return true;
  const markAt = at - BYTE_ORDER_MARK.length;
  const isAfterMark = markAt >= 0 &&
    bytes.subarray(markAt, at).equals(BYTE_ORDER_MARK);
  return isAfterMark && (markAt === 0 || isLineEnd(bytes[markAt - 1]));
}

function isLineEnd(byte: number | undefined): boolean {
  return byte === NEWLINE || byte === CARRIAGE_RETURN;
}
