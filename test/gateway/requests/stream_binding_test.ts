/** An interrupted stream goes on at the software version that began it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import type { RawAnswer } from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";
import {
  continues,
  decodeReplica,
  decodes,
  event,
  interruptedAfter,
  received,
  replica,
  ROUTE,
} from "./stream_rig.ts";

const resets: RawAnswer = (_request, socket) => socket.resetAndDestroy();

test("an interrupted stream goes on only at the version that began it", async () => {
  const replicas = [
    replica("v1", interruptedAfter(event(1))),
    replica("v2", continues),
    replica("v2", continues),
    replica("v1", continues),
  ];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    const { body, complete } = await rig.call();
    assert.deepEqual([body, complete], [event(1) + event(2), true]);
    assert.deepEqual(received(rig), [1, 0, 0, 1]);
  });
});

test("an interrupted stream of a model engine goes on only at the version that began it", async () => {
  const replicas = [
    decodeReplica("v1", interruptedAfter(event(1))),
    decodeReplica("v2", continues),
  ];
  const options = { route: ROUTE, engine: ENGINE, replicas };
  await withRig(options, async (rig) => {
    const { body } = await rig.call();
    assert.ok(body.startsWith(event(1)));
    assert.equal(received(rig)[1], 0);
  });
});

test("a retry before the first event may go to another version", async () => {
  for (const first of [resets, interruptedAfter("id: 1\ndata")]) {
    const replicas = [replica("v1", first), replica("v2", continues)];
    await withRig({ route: ROUTE, replicas }, async (rig) => {
      const { body, complete } = await rig.call();
      assert.deepEqual([body, complete], [event(1), true]);
      assert.deepEqual(received(rig), [1, 1]);
    });
  }
});

test("a stream is bound to the version that wrote its first event, not to that of an earlier send", async () => {
  const replicas = [
    replica("v1", interruptedAfter("")),
    replica("v2", interruptedAfter(event(1))),
    replica("v1", continues),
    replica("v2", continues),
  ];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    const { body, complete } = await rig.call();
    assert.deepEqual([body, complete], [event(1) + event(2), true]);
    assert.deepEqual(received(rig), [1, 1, 0, 1]);
  });
});

test("a stream whose version has no replica left is broken off at once", async () => {
  const replicas = [
    replica("v1", interruptedAfter(event(1))),
    replica("v2", continues),
  ];
  await withRig({ route: ROUTE, replicas }, async (rig) => {
    const { body, complete } = await rig.call();
    assert.deepEqual([body, complete], [event(1), false]);
    assert.deepEqual(received(rig), [1, 0]);
  });
});

test("a stream is broken off when the last replica of its version leaves while it waits", async () => {
  let started: Rig | undefined;
  let reservations = 0;
  const hasMemoryOnce: RawAnswer = (request, socket) => {
    const isReservation = request.path.startsWith("/reserve");
    if (isReservation) reservations += 1;
    if (!isReservation || reservations === 1) {
      return decodes(interruptedAfter(event(1)))(request, socket);
    }
    socket.write("HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n");
    if (started) removeReplica(started, "r0");
  };
  const stage = ReplicaStage.decode;
  const replicas = [
    { ...replica("v1", hasMemoryOnce), stage },
    decodeReplica("v2", continues),
  ];
  const options = { route: ROUTE, engine: ENGINE, replicas };
  await withRig(options, async (rig) => {
    started = rig;
    const { body, complete } = await rig.call();
    assert.deepEqual([body, complete], [event(1), false]);
    assert.equal(received(rig)[1], 0);
  });
});

function removeReplica({ context }: Rig, id: string): void {
  context.replicas.adopt({
    revision: 2,
    entries: context.replicas.entries().filter((entry) => entry.id !== id),
  });
}
