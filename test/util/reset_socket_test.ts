/** A reset closes a connection also while it is being shut down. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { resetSocket } from "../../src/util/reset_socket.ts";
import { LOOPBACK } from "../loopback.ts";

/** Returns the errors of a connection until it has closed. */
async function errorsOf(close: (socket: Socket) => void): Promise<Error[]> {
  const errors: Error[] = [];
  const server = createServer();
  server.listen(0, LOOPBACK);
  await once(server, "listening");
  const bound = server.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  const accepted = once(server, "connection") as Promise<Socket[]>;
  const caller = connect(port, LOOPBACK);
  caller.on("error", () => undefined);
  caller.resume();
  const [socket] = await accepted;
  assert.ok(socket);
  socket.on("error", (error) => errors.push(error));
  const closed = once(socket, "close");
  close(socket);
  await closed;
  caller.destroy();
  server.close();
  return errors;
}

test("a connection that is open is reset", async () => {
  assert.deepEqual(await errorsOf((socket) => resetSocket(socket)), []);
});

test("a connection is reset right after its end was written", async () => {
  const errors = await errorsOf((socket) => {
    socket.end("last bytes");
    resetSocket(socket);
  });
  assert.deepEqual(errors, []);
});

test("a connection whose last bytes can't be written yet is reset", async () => {
  const errors = await errorsOf((socket) => {
    socket.end(Buffer.alloc(50_000_000));
    resetSocket(socket);
  });
  assert.deepEqual(errors, []);
});
