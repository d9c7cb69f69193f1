/** A port that another program holds. */
import { createServer } from "node:net";
import { parseAddress } from "../../src/util/address.ts";
import { resetSocket } from "../../src/util/reset_socket.ts";

/**
 * Listens at an address, unless the host itself does already; the result closes
 * the port again.
 */
export async function holdPort(address: string): Promise<() => Promise<void>> {
  const { host, port } = parseAddress(address) ?? {};
  const server = createServer((socket) => void resetSocket(socket));
  const isHeld = await new Promise<boolean>((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, host, () => resolve(true));
  });
  return () =>
    new Promise((resolve) => {
      if (isHeld) server.close(() => resolve());
      else resolve();
    });
}
