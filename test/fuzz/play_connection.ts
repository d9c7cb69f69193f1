/** Plays one planned connection against a host. */
import type { Socket } from "node:net";
import { openConnection } from "../gateway/raw_connection.ts";
import { connectionBytes } from "./caller_bytes.ts";
import type { ConnectionPlan } from "./caller_plan.ts";
import { readResponses } from "./read_responses.ts";
import { turns } from "./turns.ts";

/** What a caller saw on its connection. */
export type PlayedConnection = {
  readonly text: string;
  /** The host, or the caller, has closed the connection. */
  readonly isClosed: boolean;
};

/** How long a connection may stay without progress. */
const HANG_MS = 8000;

/** Plays a connection until all responses have come or it has closed. */
export async function playConnection(
  address: string,
  plan: ConnectionPlan,
  idOf: (index: number) => string,
): Promise<PlayedConnection> {
  const { socket, text, closed } = openConnection(address);
  let isClosed = false;
  void closed.then(() => isClosed = true);
  if (plan.unreadTurns > 0) socket.pause();
  const bytes = connectionBytes(plan, idOf);
  const reading = turns(plan.unreadTurns).then(() => socket.resume());
  await writeParts(socket, bytes, plan.partSizes);
  if (plan.ending === "closed") socket.destroy();
  if (plan.ending === "halfClosed") socket.end();
  await reading;
  const isDone = () => isClosed || hasAllResponses(text(), plan);
  const startedAt = Date.now();
  while (!isDone() && Date.now() - startedAt < HANG_MS) await turns(1);
  const played = { text: text(), isClosed };
  socket.destroy();
  return played;
}

/** Whether a connection that stays open needs no more responses. */
function hasAllResponses(text: string, plan: ConnectionPlan): boolean {
  // What is to be answered after mutations is known to the host alone.
  if (plan.mutations.length > 0 || plan.writtenShare < 1) return true;
  const read = readResponses(text, false);
  if (read.type === "fault") return true;
  const complete = read.responses.filter(({ isComplete }) => isComplete);
  return complete.length === plan.requests.length;
}

async function writeParts(
  socket: Socket,
  bytes: Buffer,
  sizes: readonly number[],
): Promise<void> {
  socket.setNoDelay(true);
  let at = 0;
  for (let part = 0; at < bytes.length && !socket.destroyed; part++) {
    const size = sizes[part % sizes.length] ?? bytes.length;
    socket.write(bytes.subarray(at, at + size));
    at += size;
    // A long run of tiny parts shows nothing that a short one doesn't.
    if (part < MAX_PARTS) await turns(1);
  }
}

/** Parts that are written in event loop turns of their own. */
const MAX_PARTS = 500;
