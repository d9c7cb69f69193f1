/**
 * Finds the ends of server-sent events in a stream of any part sizes. A line
 * ends with LF, CR LF or CR, and an empty line ends an event (HTML standard,
 * 9.2.6).
 */

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf];

/** Scans one stream. */
export class EventScanner {
  #events = 0;
  #endInPart: number | undefined;
  /** Bytes of the stream before the current part. */
  #position = 0;
  #isLineEmpty = true;
  /** The current event has a complete line. */
  #hasLine = false;
  /** The current event has a field, perhaps an incomplete one. */
  #hasField = false;
  #isAfterReturn = false;
  /** The last byte, a CR, ended an event; an LF may still belong to its line. */
  #isEndPending = false;

  /** Complete events so far. */
  get events(): number {
    return this.#events;
  }

  /** Whether the stream would end inside an event if it ended here. */
  get isInsideEvent(): boolean {
    return this.#hasField;
  }

  /**
   * Offset in the last part after the last empty line; undefined if the part
   * ended none.
   */
  get endInPart(): number | undefined {
    return this.#endInPart;
  }

  /** Scans a part. */
  push(bytes: Buffer): void {
    let end: number | undefined;
    let at = 0;
    while (at < bytes.length) {
      // The rest of a line that has begun tells nothing.
      if (!this.#isLineEmpty) at = findLineEnd(bytes, at);
      const byte = bytes[at];
      if (byte === undefined) break;
      if (this.#isEndPending) end = byte === NEWLINE ? at + 1 : at;
      this.#isEndPending = false;
      const endsEvent = this.#endsEvent(byte, this.#position + at);
      if (endsEvent && byte === NEWLINE) end = at + 1;
      else if (endsEvent) this.#isEndPending = true;
      at += 1;
    }
    this.#position += bytes.length;
    this.#endInPart = end;
  }

  #endsEvent(byte: number, position: number): boolean {
    const isMark = position < BYTE_ORDER_MARK.length &&
      byte === BYTE_ORDER_MARK[position];
    if (isMark) return false;
    const isSecondHalf = byte === NEWLINE && this.#isAfterReturn;
    this.#isAfterReturn = byte === CARRIAGE_RETURN;
    if (isSecondHalf) return false;
    if (byte === NEWLINE || byte === CARRIAGE_RETURN) return this.#endLine();
    // A line that begins with a colon is a comment.
    if (byte !== COLON) this.#hasField = true;
    this.#isLineEmpty = false;
    return false;
  }

  #endLine(): boolean {
    if (!this.#isLineEmpty) {
      this.#isLineEmpty = true;
      this.#hasLine = true;
      return false;
    }
    if (this.#hasLine) this.#events += 1;
    this.#hasLine = false;
    this.#hasField = false;
    return true;
  }
}

/** Returns the offset of the next CR or LF; the length if there is none. */
function findLineEnd(bytes: Buffer, from: number): number {
  for (let at = from; at < bytes.length; at++) {
    const byte = bytes[at];
    if (byte === NEWLINE || byte === CARRIAGE_RETURN) return at;
  }
  return bytes.length;
}
