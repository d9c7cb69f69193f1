/** Splits a stream of server-sent events at event boundaries. */

const NEWLINE = 0x0a;
const ID_FIELD = "id:";

/** Complete events from the front of a stream, and the id of the last one. */
export type CompleteEvents = {
  readonly bytes: Buffer;
  readonly events: number;
  readonly lastId?: string;
};

/** Splits complete events off a stream and buffers the rest. */
export class EventSplitter {
  #remainder: Buffer = Buffer.alloc(0);

  /** Bytes of the incomplete event at the end. */
  get remainder(): Buffer {
    return this.#remainder;
  }

  /** Adds bytes and returns the events that they complete. */
  push(part: Buffer): CompleteEvents {
    const all = this.#remainder.length === 0
      ? part
      : Buffer.concat([this.#remainder, part]);
    const end = lastBoundary(all);
    this.#remainder = all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, ...countEventIds(bytes) };
  }
}

/** Returns the offset after the last empty line, or 0 if there is none. */
function lastBoundary(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== NEWLINE) continue;
    const before = bytes[at - 1] === 0x0d ? at - 2 : at - 1;
    if (bytes[before] === NEWLINE) return at + 1;
  }
  return 0;
}

function countEventIds(bytes: Buffer): { events: number; lastId?: string } {
  let events = 0;
  let lastId: string | undefined;
  for (const line of bytes.toString("latin1").split("\n")) {
    if (!line.startsWith(ID_FIELD)) continue;
    events += 1;
    lastId = line.slice(ID_FIELD.length).trim();
  }
  return lastId === undefined ? { events } : { events, lastId };
}
