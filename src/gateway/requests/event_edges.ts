/** Finds the ends of whole events in a stream of server-sent events. */

const NEWLINE = 0x0a;
const ID_FIELD = "id:";

/** Whole events cut from the front of a stream, and the last one's id. */
export type WholeEvents = {
  readonly bytes: Buffer;
  readonly events: number;
  readonly lastId?: string;
};

/** Holds back what comes after the last whole event. */
export class EventEdges {
  #rest: Buffer = Buffer.alloc(0);

  /** Bytes of an event that is not whole yet. */
  get rest(): Buffer {
    return this.#rest;
  }

  /** Adds bytes and gives the events that are whole now. */
  push(part: Buffer): WholeEvents {
    const all = this.#rest.length === 0
      ? part
      : Buffer.concat([this.#rest, part]);
    const end = lastEdge(all);
    this.#rest = all.subarray(end);
    const bytes = all.subarray(0, end);
    return { bytes, ...idsIn(bytes) };
  }
}

/** The position after the last empty line; 0 when there is none. */
function lastEdge(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at--) {
    if (bytes[at] !== NEWLINE) continue;
    const before = bytes[at - 1] === 0x0d ? at - 2 : at - 1;
    if (bytes[before] === NEWLINE) return at + 1;
  }
  return 0;
}

function idsIn(bytes: Buffer): { events: number; lastId?: string } {
  let events = 0;
  let lastId: string | undefined;
  for (const line of bytes.toString("latin1").split("\n")) {
    if (!line.startsWith(ID_FIELD)) continue;
    events += 1;
    lastId = line.slice(ID_FIELD.length).trim();
  }
  return lastId === undefined ? { events } : { events, lastId };
}
