/** No event is forwarded before another host has the record of its stream. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import { chunk, chunkedHeaders, type RawAnswer } from "../raw_replica.ts";
import { withRig } from "../rig.ts";
import {
  continues,
  event,
  interruptedAfter,
  received,
  replica,
  ROUTE,
} from "./stream_rig.ts";

/** Promises that are resolved one by one. */
function createRecords() {
  const resolvers: ((mayBegin?: boolean) => void)[] = [];
  const note = () =>
    new Promise<boolean>((resolve) => {
      resolvers.push((mayBegin = true) => resolve(mayBegin));
    });
  return { note, resolvers };
}

test("an event is forwarded once its stream is recorded", async () => {
  const { note, resolvers } = createRecords();
  const order: string[] = [];
  const answers: RawAnswer = (request, socket) => {
    continues(request, socket);
    setTimeout(() => {
      order.push("recorded");
      for (const resolve of resolvers) resolve();
    }, 50);
  };
  const options = { route: ROUTE, replicas: [replica("v1", answers)] };
  await withRig({ ...options, streams: { note } }, async (rig) => {
    const { body, complete } = await rig.call();
    order.push("answered");
    assert.deepEqual([body, complete], [event(1), true]);
    assert.deepEqual(order, ["recorded", "answered"]);
  });
});

test("a complete response that is reset before its stream is recorded is not sent again", async () => {
  const { note, resolvers } = createRecords();
  const answers: RawAnswer = (request, socket) => {
    continues(request, socket);
    setTimeout(() => socket.resetAndDestroy(), 20);
    setTimeout(() => resolvers[0]?.(), 50);
  };
  const replicas = [replica("v1", answers), replica("v1", continues)];
  const options = { route: ROUTE, replicas, streams: { note } };
  await withRig(options, async (rig) => {
    const { body, complete } = await rig.call();
    assert.deepEqual([body, complete], [event(1), true]);
    assert.deepEqual(received(rig), [1, 0]);
  });
});

test("a stream that is cut off before it is recorded may begin at another version", async () => {
  const { note, resolvers } = createRecords();
  const cut: RawAnswer = (request, socket) => {
    interruptedAfter(event(1))(request, socket);
    void once(socket, "close").then(() => setTimeout(resolvers[0] ?? note, 50));
  };
  const begins: RawAnswer = (request, socket) => {
    continues(request, socket);
    resolvers[1]?.();
  };
  const replicas = [replica("v1", cut), replica("v2", begins)];
  const options = { route: ROUTE, replicas, streams: { note } };
  await withRig(options, async (rig) => {
    const { body, complete } = await rig.call();
    assert.deepEqual([body, complete], [event(1), true]);
    assert.deepEqual(received(rig), [1, 1]);
  });
});

test("a caller that disconnects before its stream is recorded ends the run", async () => {
  const { note, resolvers } = createRecords();
  let onClosed = () => {};
  const closed = new Promise<void>((resolve) => onClosed = resolve);
  let onAnswered = () => {};
  const answered = new Promise<void>((resolve) => onAnswered = resolve);
  const answers: RawAnswer = (request, socket) => {
    socket.on("close", onClosed);
    socket.write(chunkedHeaders(request) + chunk(event(1)), onAnswered);
  };
  const options = { route: ROUTE, replicas: [replica("v1", answers)] };
  await withRig({ ...options, streams: { note } }, async (rig) => {
    const call = rig.call().catch(() => undefined);
    await answered;
    rig.disconnectCaller();
    await Promise.all([call, closed]);
    for (const resolve of resolvers) resolve();
    assert.deepEqual(received(rig), [1]);
  });
});

test("a stream that others would resume at another version doesn't begin", async () => {
  const { note, resolvers } = createRecords();
  let onClosed = () => {};
  const closed = new Promise<void>((resolve) => onClosed = resolve);
  const endless: RawAnswer = (request, socket) => {
    socket.on("close", onClosed);
    socket.write(chunkedHeaders(request) + chunk(event(1)));
    setTimeout(() => resolvers[0]?.(false), 20);
  };
  const replicas = [replica("v1", endless), replica("v2", continues)];
  const options = { route: ROUTE, replicas, streams: { note } };
  await withRig(options, async (rig) => {
    const { status } = await rig.call();
    await closed;
    assert.deepEqual([status, received(rig)], [502, [1, 0]]);
    const names = rig.events.map(({ name }) => name);
    assert.deepEqual(names.filter((name) => name === "failed"), ["failed"]);
  });
});
