/**
 * Callers that end their side of a connection and read on, as HTTP allows
 * (RFC 9112, 9.6), and callers that are gone, which look the same at first.
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
import { type Rig, withRig } from "../rig.ts";

const UNSAFE = { kind: RouteKind.unsafe, attempts: 1 };
const STREAMING = { kind: RouteKind.streaming, attempts: 1 };
/** Time in which the host notices the end of the caller's side. */
const NOTICED_MS = 50;

const EVENT = "data: a\n\n";

/** Sends a request and then ends the caller's side of the connection. */
async function sendAndEnd(rig: Rig, version: string): Promise<Socket> {
  const [host = "", port] = rig.address.split(":");
  const caller = connect({ host, port: Number(port), allowHalfOpen: true });
  caller.on("error", () => undefined);
  caller.end(`GET /a/b HTTP/${version}\r\nHost: example\r\nx-id: 1\r\n\r\n`);
  await rig.waitForRequests(1);
  return caller;
}

type Received = { readonly text: string; readonly isReset: boolean };

async function received(caller: Socket): Promise<Received> {
  let text = "";
  let isReset = false;
  caller.on("data", (bytes) => text += bytes.toString("latin1"));
  caller.on("error", () => isReset = true);
  await new Promise((resolve) => caller.on("close", resolve));
  return { text, isReset };
}

/** Answers some time after the request. */
function later(answer: RawAnswer): RawAnswer {
  return (request, socket) =>
    void setTimeout(() => answer(request, socket), NOTICED_MS);
}

/** Sends an event, some time later another one, and the end. */
const twoEvents: RawAnswer = (request, socket) => {
  socket.write(chunkedHeaders(request) + chunk(EVENT));
  setTimeout(() => socket.write(chunk(EVENT) + chunk("")), NOTICED_MS);
};

const complete: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "body"));
};

for (const version of ["1.0", "1.1"]) {
  test(`a half-closed caller gets the whole response (HTTP/${version})`, async () => {
    const replicas = [{ answer: later(complete) }];
    await withRig({ route: UNSAFE, replicas }, async (rig) => {
      const { text } = await received(await sendAndEnd(rig, version));
      assert.match(text, /HTTP\/1.1 200 OK[^]*\r\n\r\nbody$/);
    });
  });

  test(`a half-closed caller gets a stream to its end (HTTP/${version})`, async () => {
    const replicas = [{ answer: twoEvents }];
    await withRig({ route: STREAMING, replicas }, async (rig) => {
      const { text } = await received(await sendAndEnd(rig, version));
      assert.equal(text.match(/data: a\n\n/g)?.length, 2, text);
      const names = rig.events.map(({ name }) => name);
      assert.ok(names.includes("answered"), names.join());
    });
  });
}

test("a stream that is cut ends with a reset for a half-closed caller without chunks", async () => {
  const cut: RawAnswer = (request, socket) => {
    socket.write(chunkedHeaders(request) + chunk(EVENT));
    setTimeout(() => socket.end(), NOTICED_MS);
  };
  const options = { route: STREAMING, replicas: [{ answer: cut }] };
  await withRig(options, async (rig) => {
    const { isReset } = await received(await sendAndEnd(rig, "1.0"));
    assert.ok(isReset);
  });
});

/** Resolves when the replica's connection has closed. */
function watchClose(answer: RawAnswer): {
  readonly answer: RawAnswer;
  readonly closed: Promise<void>;
} {
  let onClosed = () => {};
  const closed = new Promise<void>((resolve) => onClosed = resolve);
  const watched: RawAnswer = (request, socket) => {
    socket.on("close", onClosed);
    answer(request, socket);
  };
  return { answer: watched, closed };
}

test("a half-closed caller that then goes cancels a run that has not responded", async () => {
  const { answer, closed } = watchClose(() => undefined);
  await withRig({ route: UNSAFE, replicas: [{ answer }] }, async (rig) => {
    const caller = await sendAndEnd(rig, "1.1");
    setTimeout(() => caller.destroy(), NOTICED_MS);
    await closed;
    assert.ok(rig.events.some(({ name }) => name === "callerGone"));
  });
});

test("a half-closed caller that then goes cancels a stream", async () => {
  const { answer, closed } = watchClose((request, socket) => {
    socket.write(chunkedHeaders(request));
    const timer = setInterval(() => socket.write(chunk(EVENT)), 5);
    socket.on("close", () => clearInterval(timer));
  });
  await withRig({ route: STREAMING, replicas: [{ answer }] }, async (rig) => {
    const caller = await sendAndEnd(rig, "1.0");
    setTimeout(() => caller.destroy(), NOTICED_MS);
    await closed;
    assert.ok(rig.events.some(({ name }) => name === "callerGone"));
  });
});

for (const version of ["1.0", "1.1"]) {
  test(`a caller that is gone before a stream falls silent cancels it (HTTP/${version})`, async () => {
    const { answer, closed } = watchClose(later((request, socket) => {
      socket.write(chunkedHeaders(request) + chunk(EVENT));
    }));
    const options = { route: STREAMING, replicas: [{ answer }] };
    await withRig(options, async (rig) => {
      const caller = await sendAndEnd(rig, version);
      caller.destroy();
      await closed;
      assert.ok(rig.events.some(({ name }) => name === "callerGone"));
    });
  });
}

test("a caller that ends its side during a silent stream cancels it", async () => {
  const { answer, closed } = watchClose((request, socket) => {
    socket.write(chunkedHeaders(request) + chunk(EVENT));
  });
  await withRig({ route: STREAMING, replicas: [{ answer }] }, async (rig) => {
    const [host = "", port] = rig.address.split(":");
    const caller = connect({ host, port: Number(port), allowHalfOpen: true });
    caller.write("GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n\r\n");
    caller.once("data", () => caller.end());
    const [{ isReset }] = await Promise.all([received(caller), closed]);
    assert.ok(isReset);
  });
});

test("a caller that ends its side within its request is not served", async () => {
  await withRig(
    { route: UNSAFE, replicas: [{ answer: complete }] },
    async (rig) => {
      const [host = "", port] = rig.address.split(":");
      const caller = connect({ host, port: Number(port), allowHalfOpen: true });
      caller.on("error", () => undefined);
      caller.end(
        "POST /a/b HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf",
      );
      await received(caller);
      assert.equal(rig.replicas[0]?.requests.length, 0);
    },
  );
});
