/** Connections to replicas that are used again, with a margin at their end. */
import { Agent, type IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import type { Milliseconds } from "../../util/units.ts";

/**
 * A replica may close an idle connection at the time that it told; a request
 * that crosses the close may or may not have run. So it is closed earlier.
 */
const CLOSE_MARGIN_MS = 1200;
/** Used where a replica tells no time. */
const USUAL_IDLE_MS = 4000;

type WithAnswer = Socket & {
  _httpMessage?: { res?: IncomingMessage };
};

/** An agent that keeps connections for less time than their replicas do. */
export class KeptAgent extends Agent {
  constructor(mostSockets: number) {
    super({
      keepAlive: true,
      maxSockets: mostSockets,
      maxFreeSockets: mostSockets,
      scheduling: "lifo",
    });
  }

  /** Called by Node when an answer has ended; false closes the connection. */
  override keepSocketAlive(socket: Socket): boolean {
    const answer = (socket as WithAnswer)._httpMessage?.res;
    const idleMs = idleTime(answer?.headers["keep-alive"]);
    if (idleMs <= 0) return false;
    socket.setKeepAlive(true, USUAL_IDLE_MS);
    socket.unref();
    socket.setTimeout(idleMs);
    return true;
  }
}

/** How long a connection may rest here. */
export function idleTime(
  keepAlive: string | string[] | undefined,
): Milliseconds {
  const text = Array.isArray(keepAlive) ? keepAlive[0] : keepAlive;
  const seconds = /timeout=(\d+)/.exec(text ?? "")?.[1];
  if (seconds === undefined) return USUAL_IDLE_MS;
  return Number(seconds) * 1000 - CLOSE_MARGIN_MS;
}
