/**
 * A loopback address for the servers of one test process. Test files run side
 * by side, and some keep connecting to a port whose server has ended; the
 * system gives that port to the next server that asks for a free one.
 */
import { pid, platform } from "node:process";

const OCTET = 256;

/** An address in 127.0.0.0/8 that no other running test process uses. */
export const LOOPBACK = platform === "linux" ? ownAddress() : "127.0.0.1";

function ownAddress(): string {
  // Process ids have at most 22 bits (proc(5), pid_max).
  const high = 1 + Math.floor(pid / OCTET / OCTET);
  const middle = Math.floor(pid / OCTET) % OCTET;
  return `127.${high}.${middle}.${pid % OCTET}`;
}
