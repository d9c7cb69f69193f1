/** Callers that hold connections open with unfinished or unread work. */
import { connect, type Socket } from "node:net";

/** A caller opens its next connection after this time. */
const REOPEN_DELAY_MS = 100;
const BODY_BYTES = 60_000;
const PIPELINED_REQUESTS = 10;

/** What a slow caller writes, in turn; none of them reads. */
const WRITES: readonly ((id: string) => string)[] = [
  // An unfinished head.
  (id) => `${headOf(id, "GET /safe/x")}\r\nX-Padding: `,
  // An unfinished body.
  (id) =>
    `${headOf(id, "POST /unsafe/x")}\r\nContent-Length: ${BODY_BYTES}\r\n\r\n` +
    "a".repeat(BODY_BYTES - 1),
  // Pipelined requests.
  (id) =>
    Array.from(
      { length: PIPELINED_REQUESTS },
      (_, at) => `${headOf(`${id}-${at}`, "GET /safe/x")}\r\n\r\n`,
    ).join(""),
];

function headOf(id: string, request: string): string {
  return `${request} HTTP/1.1\r\nHost: example\r\nAttempt-Id: ${id}`;
}

/** Slow callers of one host. */
export type SlowCallers = { close(): void };

/** Keeps `count` connections to a host open, of each kind as many. */
export function openSlowCallers(address: string, count: number): SlowCallers {
  const [host, port] = address.split(":");
  const sockets = new Map<number, Socket>();
  let isClosed = false;
  const open = (caller: number, round: number) => {
    if (isClosed) return;
    const socket = connect(Number(port), host);
    sockets.set(caller, socket);
    const write = WRITES[caller % WRITES.length];
    socket.write(write?.(`slow-${caller}-${round}`) ?? "");
    socket.on("error", () => undefined);
    socket.on("close", () => {
      setTimeout(() => open(caller, round + 1), REOPEN_DELAY_MS).unref();
    });
  };
  for (let caller = 0; caller < count; caller++) open(caller, 0);
  return {
    close: () => {
      isClosed = true;
      for (const socket of sockets.values()) socket.destroy();
    },
  };
}
