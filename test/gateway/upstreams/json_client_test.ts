/**
 * Guards against responses of the store and of other hosts that are longer than
 * any message: each was bounded alone, above the memory of a host, and bytes on
 * an idle connection were read without end.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { systemClock } from "../../../src/gateway/clock.ts";
import { createJsonClient } from "../../../src/gateway/upstreams/json_client.ts";
import { knownRed } from "../../known_red.ts";
import { sendWithoutEnd } from "../../soak/endless_replies.ts";
import { completeResponse, startRawReplica } from "../raw_replica.ts";

/** A blob of 8 MB in base64. */
const LONGEST_CHARS = 11 << 20;
const MAX_SUM_BYTES = 32 << 20;
/** What the system's buffers of a connection hold. */
const BUFFERED_BYTES = 16e6;
const MAX_WAIT_MS = 5000;
const SERVERS = 4;
const CALLS_PER_SERVER = 4;

const SUM = "responses of the store and of hosts are bounded in sum";
test(SUM, knownRed(SUM), async () => {
  const head = `HTTP/1.1 200 OK\r\nContent-Length: ${
    LONGEST_CHARS + 1
  }\r\n\r\n`;
  const unfinished = head + "x".repeat(LONGEST_CHARS);
  const servers = await Promise.all(
    Array.from(
      { length: SERVERS },
      () =>
        startRawReplica(({ path, ...call }, socket) => {
          const isShort = path === "/short";
          const whole = completeResponse({ path, ...call }, "{}");
          socket.write(isShort ? whole : unfinished);
        }),
    ),
  );
  const clients = servers.map(({ address }) =>
    createJsonClient(address, systemClock)
  );
  const aborted = new AbortController();
  let pending = SERVERS * CALLS_PER_SERVER;
  const ended = clients.flatMap((client) =>
    Array.from({ length: CALLS_PER_SERVER }, async () => {
      const call = client.call({ method: "GET", path: "/" }, aborted.signal);
      await assert.rejects(call);
      pending -= 1;
    })
  );
  const maxHeld = Math.floor(MAX_SUM_BYTES / LONGEST_CHARS);
  const deadline = performance.now() + MAX_WAIT_MS;
  while (pending > maxHeld && performance.now() < deadline) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  const heldAtOnce = pending;
  const { signal } = new AbortController();
  const other = createJsonClient(servers[0]?.address ?? "", systemClock);
  const answer = await other.call({ method: "GET", path: "/short" }, signal);
  assert.equal(answer.body, "{}");
  aborted.abort();
  await Promise.all(ended);
  for (const client of [...clients, other]) client.close();
  for (const server of servers) server.stop();
  assert.ok(heldAtOnce <= maxHeld, `${heldAtOnce} responses`);
});

test("the longest message of the store or of a host is read, many times", async () => {
  const server = await startRawReplica((call, socket) => {
    socket.write(completeResponse(call, "x".repeat(LONGEST_CHARS)));
  });
  const client = createJsonClient(server.address, systemClock);
  const { signal } = new AbortController();
  for (let count = 0; count < 8; count++) {
    const answer = await client.call({ method: "GET", path: "/" }, signal);
    assert.equal(answer.body.length, LONGEST_CHARS);
  }
  client.close();
  server.stop();
});

test("calls one after another share a connection", async () => {
  const server = await startRawReplica((call, socket) => {
    socket.write(completeResponse(call, "{}"));
  });
  const client = createJsonClient(server.address, systemClock);
  const { signal } = new AbortController();
  for (let count = 0; count < 3; count++) {
    await client.call({ method: "GET", path: "/" }, signal);
    await nextTurn();
  }
  assert.equal(server.connections(), 1);
  client.close();
  server.stop();
});

test("an idle connection to the store or a host is closed by bytes", async () => {
  const sockets: Socket[] = [];
  const server = await startRawReplica((call, socket) => {
    sockets.push(socket);
    socket.write(completeResponse(call, "{}"));
  });
  const client = createJsonClient(server.address, systemClock);
  const { signal } = new AbortController();
  await client.call({ method: "GET", path: "/" }, signal);
  const [socket] = sockets;
  assert.ok(socket);
  const closed = new Promise((resolve) => socket.on("close", resolve));
  // The client may not have noticed the end of the call yet.
  setTimeout(() => sendWithoutEnd(socket, "x"), 100);
  const timer = setTimeout(() => socket.destroy(), 3000);
  await closed;
  clearTimeout(timer);
  const sent = socket.bytesWritten - socket.writableLength;
  assert.ok(sent < BUFFERED_BYTES, `${sent} bytes`);
  client.close();
  server.stop();
});
