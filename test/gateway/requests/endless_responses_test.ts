/**
 * Guards against replicas that send bytes without end: a host read them as long
 * as they came, and held some of them.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { ReplicaStage, RouteKind } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
} from "../raw_replica.ts";
import { ENGINE, withRig } from "../rig.ts";
import { answersEngineCalls, healthy } from "./notice_rig.ts";

const BUDGET = { ratio: 0, extra: 1000 };
/** More than a host reads, and the buffers of a connection hold. */
const ENDLESS_BYTES = 64 * 1024 * 1024;
const PIECE_BYTES = 32 * 1024;
const REFUSED = "HTTP/1.1 503 Service Unavailable\r\nx-not-run: 1\r\n";

/** Sends pieces until the connection closes; resolves to whether it did. */
class EndlessSender {
  readonly closed: Promise<boolean>;
  #resolve: (isClosed: boolean) => void = () => undefined;

  constructor() {
    this.closed = new Promise((resolve) => this.#resolve = resolve);
  }

  send(socket: Socket, piece: string): void {
    const bytes = Buffer.from(piece.repeat(PIECE_BYTES / piece.length + 1));
    let sent = 0;
    const write = () => {
      while (sent < ENDLESS_BYTES) {
        sent += bytes.length;
        if (!socket.write(bytes)) return;
      }
      this.#resolve(false);
    };
    socket.on("drain", write);
    socket.on("close", () => this.#resolve(true));
    write();
  }
}

/** Requests one response that begins with `start` and goes on without end. */
async function callEndless(
  start: (id: string) => string,
  piece: string,
): Promise<{ readonly status: number; readonly isClosed: boolean }> {
  const sender = new EndlessSender();
  const answer: RawAnswer = ({ headers }, socket) => {
    socket.write(start(headers.get("x-id") ?? ""));
    sender.send(socket, piece);
  };
  let result = { status: 0, isClosed: false };
  await withRig({
    budget: BUDGET,
    route: { kind: RouteKind.unsafe, attempts: 1 },
    replicas: [{ answer }],
  }, async (rig) => {
    const { status } = await rig.call();
    result = { status, isClosed: await sender.closed };
  });
  return result;
}

const HEADS: Readonly<Record<string, readonly [string, string]>> = {
  "an empty line": ["", "\r\n"],
  "a status line": ["HTTP/1.1 200 ", "x"],
  "a header": ["HTTP/1.1 200 OK\r\nx: ", "x"],
  "headers": ["HTTP/1.1 200 OK\r\n", "x: y\r\n"],
  "informational responses": ["", "HTTP/1.1 102 Processing\r\n\r\n"],
  "bytes of no protocol": ["", "\u0001"],
};

for (const [name, [start, piece]] of Object.entries(HEADS)) {
  test(`a response whose head is ${name} without end is closed, and its request may have run`, async () => {
    const { status, isClosed } = await callEndless(() => start, piece);
    assert.equal(status, 502);
    assert.equal(isClosed, true);
  });
}

const BODIES: Readonly<Record<string, readonly [string, string]>> = {
  "bytes": ["\r\n", "x"],
  "chunks": ["transfer-encoding: chunked\r\n\r\n", "1\r\nx\r\n"],
  "a chunk's extension": ["transfer-encoding: chunked\r\n\r\n1;", "x"],
  "trailers": ["transfer-encoding: chunked\r\n\r\n0\r\n", "x: y\r\n"],
};

for (const [name, [start, piece]] of Object.entries(BODIES)) {
  test(`a refusal whose body is ${name} without end is closed, and counts as a refusal`, async () => {
    const head = (id: string) => `${REFUSED}x-id: ${id}\r\n${start}`;
    const { status, isClosed } = await callEndless(head, piece);
    assert.equal(status, 503);
    assert.equal(isClosed, true);
  });
}

test("an error response without end that is retried elsewhere is closed", async () => {
  const sender = new EndlessSender();
  const fails: RawAnswer = ({ headers }, socket) => {
    const id = headers.get("x-id");
    socket.write(`HTTP/1.1 500 Error\r\nx-id: ${id}\r\n\r\n`);
    sender.send(socket, "x");
  };
  await withRig({
    budget: BUDGET,
    route: { kind: RouteKind.safe, attempts: 2 },
    replicas: [{ answer: fails }, {
      answer: (request, socket) => {
        socket.write(completeResponse(request, "whole"));
      },
    }],
  }, async (rig) => {
    while (rig.replicas[0]?.requests.length === 0) {
      assert.equal((await rig.call()).body, "whole");
    }
    assert.equal(await sender.closed, true);
  });
});

test("a stream whose event has no end goes on at another replica", async () => {
  const sender = new EndlessSender();
  const endless: RawAnswer = (request, socket) => {
    socket.write(chunkedHeaders(request) + chunk("id: 1\ndata: a\n\n"));
    sender.send(socket, chunk("x".repeat(1000)));
  };
  const rest: RawAnswer = (request, socket) => {
    socket.write(
      chunkedHeaders(request) + chunk("id: 2\ndata: b\n\n") + chunk(""),
    );
  };
  await withRig({
    budget: BUDGET,
    route: { kind: RouteKind.streaming, resumable: true, attempts: 2 },
    replicas: [{
      answer: (request, socket) => {
        const isFirst = !request.headers.has("last-event-id");
        (isFirst ? endless : rest)(request, socket);
      },
    }, {
      answer: (request, socket) => {
        const isFirst = !request.headers.has("last-event-id");
        (isFirst ? endless : rest)(request, socket);
      },
    }],
  }, async (rig) => {
    const { body, complete } = await rig.call();
    assert.equal(body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert.equal(complete, true);
    assert.equal(await sender.closed, true);
  });
});

test("a prefill's response without end is closed, and the request runs without it", async () => {
  const sender = new EndlessSender();
  const endless: RawAnswer = answersEngineCalls(({ headers }, socket) => {
    const id = headers.get("x-id");
    socket.write(`HTTP/1.1 200 OK\r\nx-id: ${id}\r\n\r\n`);
    sender.send(socket, "x");
  });
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: RouteKind.streaming },
    replicas: [
      { answer: healthy, stage: ReplicaStage.decode },
      { answer: endless, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    const { status } = await rig.call({ headers: { "x-tokens": "10,10" } });
    assert.equal(status, 200);
    assert.equal(await sender.closed, true);
  });
});
