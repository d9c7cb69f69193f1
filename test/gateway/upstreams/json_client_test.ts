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
import { ResponseFault } from "../../../src/gateway/upstreams/json_body.ts";
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

/** The head of a response whose body has this length. */
const headOf = (length: number) =>
  `HTTP/1.1 200 OK\r\nContent-Length: ${length}\r\n\r\n`;
const CHUNKED_HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

test("responses of the store and of hosts are bounded in sum", async () => {
  const unfinished = headOf(LONGEST_CHARS + 1) + "x".repeat(LONGEST_CHARS);
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

test("a response that is too long is told from one that is cut off", async () => {
  const cases: [ResponseFault, (socket: Socket) => void][] = [
    [ResponseFault.tooLong, (socket) => socket.write(headOf(1e12))],
    [ResponseFault.tooLong, (socket) => {
      const piece = "x".repeat(1000);
      socket.write(CHUNKED_HEAD);
      sendWithoutEnd(socket, `3e8\r\n${piece}\r\n`);
    }],
    [ResponseFault.tooLong, (socket) => {
      const values = "{},".repeat(200_000);
      socket.write(headOf(LONGEST_CHARS) + values);
    }],
    [ResponseFault.cutOff, (socket) => socket.end(headOf(10) + "x")],
  ];
  for (const [fault, respond] of cases) {
    const server = await startRawReplica((_call, socket) => respond(socket));
    const client = createJsonClient(server.address, systemClock);
    const { signal } = new AbortController();
    const call = client.call({ method: "GET", path: "/" }, signal);
    await assert.rejects(call, { fault });
    client.close();
    server.stop();
  }
});

test("a host is served beside another whose responses never end", async () => {
  const faulty = await startRawReplica((_call, socket) => {
    socket.write(headOf(LONGEST_CHARS + 1) + "x".repeat(LONGEST_CHARS));
  });
  const sound = await startRawReplica((call, socket) => {
    socket.write(completeResponse(call, "x".repeat(LONGEST_CHARS / 4)));
  });
  const aborted = new AbortController();
  const faultyClients = Array.from(
    { length: 2 },
    () => createJsonClient(faulty.address, systemClock),
  );
  const unfinished = faultyClients.flatMap((client) =>
    Array.from({ length: CALLS_PER_SERVER }, async () => {
      const call = client.call({ method: "GET", path: "/" }, aborted.signal);
      await assert.rejects(call);
    })
  );
  // The first ones that are broken off: the rest fills the bound.
  await Promise.race(unfinished);
  const client = createJsonClient(sound.address, systemClock);
  const { signal } = new AbortController();
  for (let count = 0; count < CALLS_PER_SERVER; count++) {
    const { body } = await client.call({ method: "GET", path: "/" }, signal);
    assert.equal(body.length, LONGEST_CHARS / 4);
  }
  aborted.abort();
  await Promise.all(unfinished);
  for (const each of [...faultyClients, client]) each.close();
  faulty.stop();
  sound.stop();
});
