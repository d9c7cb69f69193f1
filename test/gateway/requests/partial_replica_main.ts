/**
 * A replica in a process of its own: it sends the head and a part of an unframed
 * response, tells its parent and goes on running.
 */
import assert from "node:assert/strict";
import { startRawReplica } from "../raw_replica.ts";

const [, , body = ""] = process.argv;
assert.ok(process.send, "The process has no parent");

const { address } = await startRawReplica((request, socket) => {
  const id = request.headers.get("x-id") ?? "";
  socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n${body}`, () => {
    process.send?.({ type: "sent" });
  });
});
process.send({ type: "listens", address });
