/**
 * Requests that a host has not read yet when it stops listening and closes idle
 * connections. Guards against connections that are reset with such a request.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import {
  openConnection,
  type RawConnection,
  rawGet,
  statusesIn,
  until,
} from "../raw_connection.ts";
import { type Rig, withRig } from "../rig.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

const CONNECTIONS = 20;
const answer: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, "body"));
};

/** The request of a connection. */
function requestOf(at: number, round: number): string {
  return rawGet(`${at}-${round}`);
}

function drain({ callers, context }: Rig): Promise<unknown> {
  const { clock, stop } = context;
  stop.requestedAt = clock.now();
  return callers.drain(clock, clock.now() + TEST_TIMEOUT_MS);
}

/** The statuses that each connection received. */
async function statusesOf(
  connections: readonly RawConnection[],
): Promise<string[]> {
  const texts = await Promise.all(connections.map(({ closed }) => closed));
  return texts.map((text) => statusesIn(text).join());
}

test("requests that wait unread on kept connections are answered", async () => {
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const connections = Array.from(
      { length: CONNECTIONS },
      () => openConnection(rig.address),
    );
    connections.forEach(({ socket }, at) => socket.write(requestOf(at, 1)));
    await until(() =>
      connections.every(({ text }) => statusesIn(text()).length === 1)
    );
    // Written at once: they are unread while the loop is in this callback.
    connections.forEach(({ socket }, at) => socket.write(requestOf(at, 2)));
    const drained = drain(rig);
    const expected = connections.map(() => "200,200");
    assert.deepEqual(await statusesOf(connections), expected);
    await drained;
  });
});

test("connections that wait to be accepted are served", async () => {
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const connections = Array.from(
      { length: CONNECTIONS },
      () => openConnection(rig.address),
    );
    connections.forEach(({ socket }, at) => socket.write(requestOf(at, 1)));
    // They are established, and wait to be accepted.
    await new Promise((resolve) => process.nextTick(resolve));
    const drained = drain(rig);
    const expected = connections.map(() => "200");
    assert.deepEqual(await statusesOf(connections), expected);
    await drained;
  });
});
