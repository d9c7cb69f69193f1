/**
 * Guards against callers who send or read slowly and so use up the memory of a
 * host, or keep replicas busy with answers that nobody reads.
 */
import assert from "node:assert/strict";
import { connect, type Socket } from "node:net";
import { test } from "node:test";
import { HeldFor } from "../../../src/gateway/memory/byte_budget.ts";
import { PacedWriter } from "../../../src/gateway/memory/paced_writer.ts";
import { ByteBudget } from "../../../src/gateway/memory/byte_budget.ts";
import { completeResponse } from "../raw_replica.ts";
import { type Rig, startRig } from "../rig.ts";

const MEGABYTE = 1 << 20;
/** Below the body limit of the rig. */
const BODY_BYTES = 900_000;
const SLOW_CALLERS = 40;

/** Opens a connection that sends all of a body but its last byte. */
function sendUnfinishedBody(rig: Rig): Promise<Socket> {
  const { hostname, port } = new URL(`http://${rig.address}`);
  const socket = connect(Number(port), hostname);
  socket.on("error", () => undefined);
  socket.write(
    `POST /a/b HTTP/1.1\r\nHost: example\r\nx-id: s\r\n` +
      `Content-Length: ${BODY_BYTES}\r\n\r\n`,
  );
  return new Promise((resolve) => {
    socket.write(Buffer.alloc(BODY_BYTES - 1), () => resolve(socket));
  });
}

test("bodies that never end hold no more than the bound, and others are served", async () => {
  const rig = await startRig({
    replicas: [{
      answer: (request, socket) => socket.write(completeResponse(request, "x")),
    }],
    route: { priority: 1 },
  });
  const bound = 8 * MEGABYTE;
  rig.context.heldBytes.setCapacity(bound);
  const sockets = await Promise.all(
    Array.from({ length: SLOW_CALLERS }, () => sendUnfinishedBody(rig)),
  );
  const answers = await Promise.all(sockets.map(readAnswer));
  assert.ok(rig.context.heldBytes.heldFor(HeldFor.bodies) <= bound);
  const refused = answers.filter((answer) => answer.includes(" 503 "));
  assert.ok(refused.length >= SLOW_CALLERS - bound / BODY_BYTES);
  assert.ok(refused.every((answer) => /retry-after/i.test(answer)));
  assert.equal((await rig.call({ id: "1" })).status, 200);
  for (const socket of sockets) socket.destroy();
  rig.stop();
});

/** What a connection receives before it closes or stays silent. */
function readAnswer(socket: Socket): Promise<string> {
  return new Promise((resolve) => {
    let text = "";
    const timer = setTimeout(() => resolve(text), 300);
    socket.on("data", (bytes) => text += bytes.toString());
    socket.on("close", () => {
      clearTimeout(timer);
      resolve(text);
    });
  });
}

test("a body that does not arrive in time gets a 408", async () => {
  const rig = await startRig({
    replicas: [{ answer: () => undefined }],
    route: { timeoutMs: 100 },
  });
  const socket = await sendUnfinishedBody(rig);
  const answer = await readAnswer(socket);
  assert.match(answer, /^HTTP\/1.1 408 /);
  assert.equal(rig.context.heldBytes.heldFor(HeldFor.bodies), 0);
  assert.equal(rig.replicas[0]?.requests.length, 0);
  rig.stop();
});

test("memory of a body is released when its request has ended", async () => {
  const rig = await startRig({
    replicas: [{
      answer: (request, socket) => socket.write(completeResponse(request, "x")),
    }],
  });
  rig.context.heldBytes.setCapacity(MEGABYTE);
  for (const id of ["1", "2", "3"]) {
    const body = "b".repeat(700_000);
    const result = await rig.call({ id, method: "POST", body });
    assert.equal(result.status, 200);
  }
  rig.stop();
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
  const gone: boolean[] = [];
  const rig = await startRig({
    replicas: [{
      answer: (request, socket) => {
        socket.on("close", () => gone.push(true));
        socket.write(
          `HTTP/1.1 200 OK\r\nx-id: ${request.headers.get("x-id")}\r\n` +
            `content-length: ${64 * MEGABYTE}\r\n\r\n`,
        );
        socket.write(Buffer.alloc(32 * MEGABYTE));
      },
    }],
    route: { kind: "streaming" },
  });
  rig.context.tuning = { ...rig.context.tuning, unreadTimeoutMs: 50 };
  const { hostname, port } = new URL(`http://${rig.address}`);
  const socket = connect(Number(port), hostname);
  socket.on("error", () => undefined);
  socket.pause();
  socket.write("GET /a/b HTTP/1.1\r\nHost: example\r\nx-id: 1\r\n\r\n");
  const closed = new Promise((resolve) => socket.on("close", resolve));
  while (gone.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  socket.resume();
  await closed;
  const broken = rig.events.filter(({ name }) => name === "broken");
  assert.equal(broken.length, 1);
  assert.equal(rig.context.metrics.counterValue("answers_unread"), 1);
  rig.stop();
});
