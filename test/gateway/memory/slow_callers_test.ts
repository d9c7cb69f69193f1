/**
 * Guards against callers who send or read slowly and so use up the memory of a
 * host, or keep replicas busy with answers that nobody reads.
 */
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { readCallerBody } from "../../../src/gateway/callers/body.ts";
import { HeldFor } from "../../../src/gateway/memory/byte_budget.ts";
import { PacedWriter } from "../../../src/gateway/memory/paced_writer.ts";
import { ByteBudget } from "../../../src/gateway/memory/byte_budget.ts";
import { RouteKind } from "../../../src/gateway/mod.ts";
import { completeResponse, type RawRequest } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const MEGABYTE = 1 << 20;
/** Below the body limit of the rig. */
const BODY_BYTES = 900_000;
const SLOW_CALLERS = 40;

/** A caller that sends all of a body but its last byte. */
type SlowSender = {
  readonly socket: Socket;
  /** What it receives until the connection closes. */
  readonly answer: Promise<string>;
};

function sendUnfinishedBody(rig: Rig): SlowSender {
  const { hostname, port } = new URL(`http://${rig.address}`);
  const socket = connect(Number(port), hostname);
  const answer = new Promise<string>((resolve) => {
    let text = "";
    socket.on("data", (bytes) => text += bytes.toString());
    socket.on("close", () => resolve(text));
  });
  socket.on("error", () => undefined);
  socket.write(
    `POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: s\r\n` +
      `Content-Length: ${BODY_BYTES}\r\n\r\n`,
  );
  socket.write(Buffer.alloc(BODY_BYTES - 1));
  return { socket, answer };
}

test("bodies that never end hold no more than the bound, and others are served", async () => {
  const options = {
    replicas: [{
      answer: (request: RawRequest, socket: Socket) =>
        void socket.write(completeResponse(request, "x")),
    }],
    route: { priority: 1 },
  };
  await withRig(options, async (rig) => {
    const bound = 8 * MEGABYTE;
    rig.context.heldBytes.setCapacity(bound);
    const senders = Array.from(
      { length: SLOW_CALLERS },
      () => sendUnfinishedBody(rig),
    );
    const refused: string[] = [];
    for (const { answer } of senders) {
      void answer.then((text) => refused.push(text));
    }
    // All but those whose bodies fit are refused.
    while (refused.length < SLOW_CALLERS - Math.floor(bound / BODY_BYTES)) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    assert.ok(rig.context.heldBytes.heldFor(HeldFor.bodies) <= bound);
    assert.ok(refused.every((answer) => answer.startsWith("HTTP/1.1 503 ")));
    assert.ok(refused.every((answer) => /retry-after/i.test(answer)));
    assert.equal((await rig.call({ id: "1" })).status, 200);
    for (const { socket } of senders) socket.destroy();
  });
});

test("a body that does not arrive in time gets a 408", async () => {
  const options = {
    replicas: [{ answer: () => undefined }],
    route: { timeoutMs: 100 },
  };
  await withRig(options, async (rig) => {
    assert.match(await sendUnfinishedBody(rig).answer, /^HTTP\/1.1 408 /);
    assert.equal(rig.context.heldBytes.heldFor(HeldFor.bodies), 0);
    assert.equal(rig.replicas[0]?.requests.length, 0);
  });
});

test("memory of a body is released when its request has ended", async () => {
  const options = {
    replicas: [{
      answer: (request: RawRequest, socket: Socket) =>
        void socket.write(completeResponse(request, "x")),
    }],
  };
  await withRig(options, async (rig) => {
    rig.context.heldBytes.setCapacity(MEGABYTE);
    for (const id of ["1", "2", "3"]) {
      const body = "b".repeat(700_000);
      const result = await rig.call({ id, method: "POST", body });
      assert.equal(result.status, 200);
    }
  });
});

test("memory of a pipelined body is released when the caller leaves", async () => {
  const options = { replicas: [{ answer: () => undefined }] };
  await withRig(options, async (rig) => {
    const { hostname, port } = new URL(`http://${rig.address}`);
    const socket = connect(Number(port), hostname);
    socket.on("error", () => undefined);
    for (const id of ["1", "2"]) {
      socket.write(
        `POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: ${id}\r\n` +
          "Content-Length: 4\r\n\r\nbody",
      );
    }
    await rig.waitForRequests(1);
    socket.destroy();
    while (rig.context.heldBytes.heldFor(HeldFor.bodies) > 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  });
});

test("single bytes of a body count with the memory that each of them takes", async () => {
  const request = new PassThrough() as unknown as IncomingMessage;
  const reading = readCallerBody(request, {
    maxBytes: MEGABYTE,
    isRetained: true,
    budget: new ByteBudget(10_000),
    isMostUrgent: true,
    clock: { after: () => () => undefined },
    timeoutMs: 1000,
  });
  for (let count = 0; count < 200; count++) {
    request.emit("data", Buffer.from("b"));
  }
  assert.equal((await reading).type, "overBudget");
});

/** A writer whose caller reads only when `drain` is called. */
function stalledWriter(budgetBytes: number) {
  const log: string[] = [];
  const timers: (() => void)[] = [];
  const budget = new ByteBudget(budgetBytes);
  let drain: () => void = () => undefined;
  const writer = new PacedWriter({
    reply: {
      write: () => false,
      drained: () => new Promise((resolve) => drain = resolve),
    },
    source: {
      pause: () => void log.push("pause"),
      resume: () => void log.push("resume"),
    },
    clock: {
      after: (_, run) => {
        timers.push(run);
        return () => void timers.splice(timers.indexOf(run), 1);
      },
    },
    budget,
    isMostUrgent: true,
    unreadTimeoutMs: 3000,
    onUnread: () => void log.push("unread"),
  });
  return { writer, budget, log, timers, drain: () => drain() };
}

test("a caller who reads slowly holds up the source and nothing else", async () => {
  const { writer, budget, log, timers, drain } = stalledWriter(1000);
  writer.write(Buffer.alloc(600));
  assert.equal(budget.heldFor(HeldFor.answers), 600);
  drain();
  await Promise.resolve();
  await Promise.resolve();
  assert.deepEqual(log, ["pause", "resume"]);
  assert.equal(budget.heldFor(HeldFor.answers), 0);
  assert.equal(timers.length, 0);
});

test("an answer that is left unread is ended once and its memory released", () => {
  const { writer, budget, log, timers } = stalledWriter(1000);
  writer.write(Buffer.alloc(600));
  for (const expire of [...timers]) expire();
  for (const expire of [...timers]) expire();
  assert.deepEqual(log, ["pause", "unread"]);
  assert.equal(budget.heldFor(HeldFor.answers), 0);
});

test("an unread answer over the host's bound is ended at once", () => {
  const { writer, log } = stalledWriter(500);
  writer.write(Buffer.alloc(600));
  assert.deepEqual(log, ["pause", "unread"]);
});

test("a stream that its caller does not read is broken off, not completed", async () => {
  let isReplicaFree = false;
  const options = {
    replicas: [{
      answer: (request: RawRequest, socket: Socket) => {
        socket.on("close", () => isReplicaFree = true);
        socket.write(
          `HTTP/1.1 200 OK\r\nx-id: ${request.headers.get("x-id")}\r\n` +
            `content-length: ${64 * MEGABYTE}\r\n\r\n`,
        );
        socket.write(Buffer.alloc(32 * MEGABYTE));
      },
    }],
    route: { kind: RouteKind.streaming },
  };
  await withRig(options, async (rig) => {
    rig.context.tuning = { ...rig.context.tuning, unreadTimeoutMs: 50 };
    const { hostname, port } = new URL(`http://${rig.address}`);
    const socket = connect(Number(port), hostname);
    socket.on("error", () => undefined);
    socket.pause();
    socket.write("GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n\r\n");
    const closed = new Promise((resolve) => socket.on("close", resolve));
    while (!isReplicaFree) {
      await new Promise((resolve) => setTimeout(resolve, 10));
    }
    socket.resume();
    await closed;
    const broken = rig.events.filter(({ name }) => name === "broken");
    assert.equal(broken.length, 1);
    assert.equal(rig.context.metrics.counterValue("answers_unread"), 1);
  });
});
