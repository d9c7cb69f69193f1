/**
 * Records which calls each connection to a replica has carried. A response that
 * comes twice or late can only stand in the place of a later call on the same
 * connection.
 */
import type { Socket } from "node:net";

/**
 * Number of latest ids that are kept of a connection; a copy of a response that
 * comes after more calls than this is not recognized by its id.
 */
const MAX_IDS = 64;

/** What a connection had carried before a call. */
export type CarriedCalls = {
  /** Number of the connection, from 1, in this process. */
  readonly connection: number;
  /** Number of calls before this one. */
  readonly count: number;
  /** Whether one of them had the id of this call. */
  readonly hasSameId: boolean;
};

type ConnectionRecord = {
  readonly number: number;
  count: number;
  /** The latest ids, oldest first. */
  readonly ids: Set<string>;
};

const RECORDS = new WeakMap<Socket, ConnectionRecord>();
let connections = 0;

/** Records a call on its connection; returns what the connection had carried. */
export function noteCarriedCall(
  socket: Socket,
  id: string | undefined,
): CarriedCalls {
  const record = RECORDS.get(socket) ?? createRecord();
  RECORDS.set(socket, record);
  const { number: connection, count, ids } = record;
  const hasSameId = id !== undefined && ids.has(id);
  record.count += 1;
  if (id !== undefined) addId(ids, id);
  return { connection, count, hasSameId };
}

/**
 * Records the id that a response contains; returns whether no earlier response
 * on the connection contained it.
 */
export function noteResponseId(socket: Socket, id: string): boolean {
  const ids = RECORDS.get(socket)?.ids;
  const isNew = ids !== undefined && !ids.has(id);
  if (isNew) addId(ids, id);
  return isNew;
}

function createRecord(): ConnectionRecord {
  connections += 1;
  return { number: connections, count: 0, ids: new Set() };
}

function addId(ids: Set<string>, id: string): void {
  ids.delete(id);
  ids.add(id);
  if (ids.size <= MAX_IDS) return;
  const [oldest] = ids;
  if (oldest !== undefined) ids.delete(oldest);
}
