/**
 * Requests that a caller sends before it has received the responses to earlier
 * ones. Guards against requests that run although their connection closes
 * before they could be answered.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { RouteKind } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
} from "../raw_replica.ts";
import { statusesIn } from "../raw_connection.ts";
import { type Rig, withRig } from "../rig.ts";

/** Lets the gateway read the written bytes before the connection ends. */
const AFTER_READ_MS = 20;
const UNSAFE = { kind: RouteKind.unsafe, attempts: 1 };
const STREAMING = { kind: RouteKind.streaming, attempts: 1 };

/** A connection on which all requests have been sent at once. */
function sendAll({ address }: Rig, requests: readonly string[]): Socket {
  const [host = "", port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => undefined);
  socket.write(requests.join(""));
  return socket;
}

function get(id: string, ...headers: readonly string[]): string {
  const lines = ["GET /a/b HTTP/1.1", "Host: example", `x-id: ${id}`];
  return [...lines, ...headers, "", ""].join("\r\n");
}

/** What is received until the connection ends. */
function received(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    socket.on("data", (bytes) => text += bytes.toString("latin1"));
    socket.on("close", () => resolve(text));
  });
}

/** The ids of the requests that the replica has received. */
function receivedIds({ replicas }: Rig): (string | undefined)[] {
  return replicas.flatMap(({ requests }) => requests)
    .map(({ headers }) => headers.get("x-id"));
}

/** Answers the first request with `first` and others completely. */
function firstWith(first: RawAnswer): RawAnswer {
  return (request, socket) => {
    if (request.number === 1) return first(request, socket);
    socket.write(completeResponse(request, `body ${request.number}`));
  };
}

/** Answers the first request with an unframed body, others completely. */
function unframedFirst(body: string): RawAnswer {
  return firstWith((request, socket) => {
    const id = request.headers.get("x-id");
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n${body}`);
    setTimeout(() => socket.end(), AFTER_READ_MS);
  });
}

test("requests behind a plain response without framing are answered", async () => {
  const options = {
    route: UNSAFE,
    replicas: [{ answer: unframedFirst("all") }],
  };
  await withRig(options, async (rig) => {
    const requests = [get("1"), get("2"), get("3", "Connection: close")];
    const text = await received(sendAll(rig, requests));
    assert.deepEqual(statusesIn(text), ["200", "200", "200"]);
    assert.deepEqual(receivedIds(rig), ["1", "2", "3"]);
  });
});

test("a request behind a plain response without framing is not started", async () => {
  // Too large to get a length, for a caller that knows no chunks.
  const body = "x".repeat(300 * 1024);
  const options = {
    route: UNSAFE,
    replicas: [{ answer: unframedFirst(body) }],
  };
  await withRig(options, async (rig) => {
    const requests = ["1", "2", "3"].map((id) =>
      get(id, "Connection: keep-alive").replace("HTTP/1.1", "HTTP/1.0")
    );
    const text = await received(sendAll(rig, requests));
    assert.ok(text.endsWith(`\r\n\r\n${body}`), text.slice(0, 200));
    assert.deepEqual(receivedIds(rig), ["1"]);
    const dropped = rig.events.filter(({ name }) => name === "notStarted");
    assert.deepEqual(
      dropped.map(({ fields }) => fields),
      [{ request: "2" }, { request: "3" }],
    );
  });
});

test("a request behind a response that is cut off is not started", async () => {
  const answer = firstWith((request, socket) => {
    socket.write(chunkedHeaders(request) + chunk("part"));
    setTimeout(() => socket.end(), AFTER_READ_MS);
  });
  const options = { route: STREAMING, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    await received(sendAll(rig, [get("1"), get("2")]));
    assert.deepEqual(receivedIds(rig), ["1"]);
  });
});

test("a request behind another is not started if its caller disconnects", async () => {
  const replicas = [{ answer: () => undefined }];
  await withRig({ route: UNSAFE, replicas }, async (rig) => {
    const socket = sendAll(rig, [get("1"), get("2")]);
    await rig.waitForRequests(1);
    socket.destroy();
    while (!rig.events.some(({ name }) => name === "callerGone")) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    assert.equal((await rig.call({ id: "3", path: "/none" })).status, 404);
    assert.deepEqual(receivedIds(rig), ["1"]);
  });
});

test("pipelined requests are answered one after the other", async () => {
  const running = new Set<number>();
  const answer: RawAnswer = (request, socket) => {
    assert.equal(running.size, 0, "An earlier request still runs");
    running.add(request.number);
    setTimeout(() => {
      running.delete(request.number);
      socket.write(completeResponse(request, `body ${request.number}`));
    }, AFTER_READ_MS);
  };
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    const requests = [get("1"), get("2"), get("3", "Connection: close")];
    const text = await received(sendAll(rig, requests));
    assert.deepEqual(text.match(/body \d/g), ["body 1", "body 2", "body 3"]);
    assert.deepEqual(receivedIds(rig), ["1", "2", "3"]);
  });
});

test("a request behind a refused one is answered", async () => {
  const answer: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, "body"));
  };
  const options = { route: UNSAFE, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const refused = get("1").replace("/a/b", "/none");
    const requests = [refused, get("2", "Connection: close")];
    const text = await received(sendAll(rig, requests));
    const statuses = text.match(/(?<=HTTP\/1.1 )\d+/g);
    assert.deepEqual(statuses, ["404", "200"]);
    assert.deepEqual(receivedIds(rig), ["2"]);
  });
});

test("a request whose time ends while it waits is refused", async () => {
  const answer: RawAnswer = (request, socket) => {
    const respond = () => socket.write(completeResponse(request, "body"));
    setTimeout(respond, AFTER_READ_MS);
  };
  const options = { route: UNSAFE, replicas: [{ answer }] };
  await withRig(options, async (rig) => {
    const patience = "x-patience: 1";
    const requests = [get("1"), get("2", patience, "Connection: close")];
    const text = await received(sendAll(rig, requests));
    const statuses = text.match(/(?<=HTTP\/1.1 )\d+/g);
    assert.deepEqual(statuses, ["200", "503"]);
    assert.deepEqual(receivedIds(rig), ["1"]);
  });
});
