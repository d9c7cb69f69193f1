/** Callers that send a part of a request body and then nothing. */
import { connect } from "node:net";

const BODY_BYTES = 60_000;

/** Open connections of such callers. */
export type UnfinishedBodies = { close(): void };

/** Opens `count` connections, in turn to each of the addresses. */
export function sendUnfinishedBodies(
  addresses: readonly string[],
  count: number,
): UnfinishedBodies {
  const sockets = Array.from({ length: count }, (_, at) => {
    const [host, port] = (addresses[at % addresses.length] ?? "").split(":");
    const socket = connect(Number(port), host);
    socket.on("error", () => undefined);
    socket.write(
      `POST /unsafe/x HTTP/1.1\r\nHost: example\r\n` +
        `Attempt-Id: unfinished-${at}\r\n` +
        `Content-Length: ${BODY_BYTES}\r\n\r\n`,
    );
    socket.write(Buffer.alloc(BODY_BYTES - 1));
    return socket;
  });
  return {
    close: () => {
      for (const socket of sockets) socket.destroy();
    },
  };
}
