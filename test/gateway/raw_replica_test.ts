/**
 * A raw replica counts the connections of its own test only. Otherwise a test
 * fails when another one, which runs beside it, connects to a server that has
 * ended and whose port the replica was given.
 */
import assert from "node:assert/strict";
import { connect } from "node:net";
import { platform } from "node:process";
import { test } from "node:test";
import { startRawReplica } from "./raw_replica.ts";

// Other systems have a single loopback address.
const skip = platform !== "linux";

test(
  "a raw replica gets no connection from other processes",
  { skip },
  async () => {
    const replica = await startRawReplica(() => undefined);
    const [host = "", port = ""] = replica.address.split(":");
    // As another process does that still knows the port.
    const stranger = connect(Number(port), "127.0.0.1");
    const own = connect(Number(port), host);
    try {
      await new Promise((resolve) => {
        stranger.once("connect", resolve).once("error", resolve);
      });
      own.write("GET / HTTP/1.1\r\n\r\n");
      while (replica.requests.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      // Connections are accepted in their order.
      assert.equal(replica.connections(), 1);
    } finally {
      stranger.destroy();
      own.destroy();
      replica.stop();
    }
  },
);
