/** Addresses for the processes that a test starts. */
import { once } from "node:events";
import { createServer } from "node:net";
import { pid } from "node:process";
import { LOOPBACK } from "./loopback.ts";

/**
 * The ports lie below the ephemeral range, so that neither a connection nor a
 * server of another test takes the port of a process before it (re)starts.
 */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const PORTS_PER_PROCESS = 64;
let nextPort = FIRST_PORT + pid * PORTS_PER_PROCESS % PORT_COUNT;

/** Returns an address of this test process at which nothing listens. */
export async function freeAddress(): Promise<string> {
  for (;;) {
    nextPort = FIRST_PORT + (nextPort + 1 - FIRST_PORT) % PORT_COUNT;
    const port = nextPort;
    const server = createServer();
    const isFree = await new Promise<boolean>((resolve) => {
      server.once("error", () => resolve(false));
      server.listen(port, LOOPBACK, () => resolve(true));
    });
    if (!isFree) continue;
    server.close();
    await once(server, "close");
    return `${LOOPBACK}:${port}`;
  }
}
