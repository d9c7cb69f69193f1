/**
 * A plain scanner and a plain splitter of server-sent events. They look at each
 * byte, and at all complete events again, and define the results of the fast
 * ones in `src/gateway/requests`.
 */

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const COLON = 0x3a;
const BYTE_ORDER_MARK = [0xef, 0xbb, 0xbf];

/** Scans one stream. */
export class ReferenceScanner {
  events = 0;
  isInsideEvent = false;
  #position = 0;
  #isLineEmpty = true;
  #hasLine = false;
  #isAfterReturn = false;
  #isEndPending = false;

  /** As `EventScanner.push`. */
  push(bytes: Buffer): number | undefined {
    let end: number | undefined;
    for (const [at, byte] of bytes.entries()) {
      if (this.#isEndPending) end = byte === NEWLINE ? at + 1 : at;
      this.#isEndPending = false;
      if (!this.#endsEvent(byte)) continue;
      if (byte === NEWLINE) end = at + 1;
      else this.#isEndPending = true;
    }
    return end;
  }

  #endsEvent(byte: number): boolean {
    const isMark = this.#position < BYTE_ORDER_MARK.length &&
      byte === BYTE_ORDER_MARK[this.#position];
    this.#position += 1;
    if (isMark) return false;
    const isSecondHalf = byte === NEWLINE && this.#isAfterReturn;
    this.#isAfterReturn = byte === CARRIAGE_RETURN;
    if (isSecondHalf) return false;
    if (byte === NEWLINE || byte === CARRIAGE_RETURN) return this.#endLine();
    if (this.#isLineEmpty && byte !== COLON) this.isInsideEvent = true;
    this.#isLineEmpty = false;
    return false;
  }

  #endLine(): boolean {
    if (!this.#isLineEmpty) {
      this.#isLineEmpty = true;
      this.#hasLine = true;
      return false;
    }
    if (this.#hasLine) this.events += 1;
    this.#hasLine = false;
    this.isInsideEvent = false;
    return true;
  }
}

/** Splits complete events off one stream. */
export class ReferenceSplitter {
  readonly scanner = new ReferenceScanner();
  remainder: Buffer = Buffer.alloc(0);
  lastId: string | undefined;

  /** Adds a part and returns the events that it completes. */
  push(part: Buffer): Buffer {
    const buffered = this.remainder.length;
    const all = Buffer.concat([this.remainder, part]);
    const endInPart = this.scanner.push(part);
    const end = endInPart === undefined ? 0 : buffered + endInPart;
    this.remainder = all.subarray(end);
    const complete = all.subarray(0, end);
    for (const line of complete.toString("latin1").split(/\r\n|\r|\n/)) {
      const field = line.replace(/^\u00ef\u00bb\u00bf/, "");
      if (field.startsWith("id:")) this.lastId = field.slice(3).trim();
    }
    return complete;
  }
}
