/**
 * Guards against responses that are lost since the host closes a connection on
 * which its caller is still sending.
 */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { until } from "../raw_connection.ts";
import { withRig } from "../rig.ts";

const HEAD = "POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n" +
  "Content-Length: 900000\r\n\r\n";
const PART = "b".repeat(300_000);

for (const path of ["/a/b", "/none"]) {
  test(`a caller may send on while it reads why ${path} was refused`, async () => {
    const replicas = [{ answer: () => undefined }];
    await withRig({ replicas }, async (rig) => {
      // A stall of this process must not end the time for which a host waits.
      Object.assign(rig.context.clock, { after: () => () => undefined });
      rig.context.heldBytes.setCapacity(PART.length / 2);
      const [host = "", port] = rig.address.split(":");
      const options = { host, port: Number(port), allowHalfOpen: true };
      const socket = connect(options);
      let text = "";
      let hasFailed = false;
      socket.on("data", (bytes) => text += bytes.toString());
      socket.on("error", () => hasFailed = true);
      const ended = once(socket, "end");
      socket.write(HEAD.replace("/a/b", path) + PART);
      if (path === "/none") socket.write(`${PART}${PART}NONSENSE\r\n\r\n`);
      await ended;
      await new Promise((resolve) => socket.write(PART, resolve));
      await new Promise<void>((resolve) => socket.end(resolve));
      await until(() => rig.callers.connectionCount === 0);
      assert.equal(hasFailed, false);
      const status = path === "/none" ? 404 : 503;
      assert.match(text, new RegExp(`^HTTP/1.1 ${status} `));
    });
  });
}
