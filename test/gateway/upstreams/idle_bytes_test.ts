/**
 * Guards against bytes without end on connections that wait for their next call:
 * a host read and dropped them for as long as they came.
 */
import assert from "node:assert/strict";
import type { Agent } from "node:http";
import { once } from "node:events";
import type { Socket } from "node:net";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { systemClock } from "../../../src/gateway/clock.ts";
import { startCall } from "../../../src/gateway/upstreams/call.ts";
import { tcpConnect } from "../../../src/gateway/upstreams/connect.ts";
import { ReplicaAgent } from "../../../src/gateway/upstreams/replica_agent.ts";
import { completeResponse, startRawReplica } from "../raw_replica.ts";

const CLOSE_TIMEOUT_MS = 2000;

async function callOnce(address: string, agent: Agent): Promise<void> {
  const { outcome } = startCall({
    clock: systemClock,
    connectTimeoutMs: 10_000,
    address,
    method: "GET",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    agent,
  });
  const called = await outcome;
  if (called.type !== "answer") throw new Error("No response");
  called.answer.message.resume();
  await once(called.answer.message, "close");
}

const name = "a connection that gets bytes while it waits for a call is closed";
test(name, knownRed(name), async () => {
  const sockets: Socket[] = [];
  const replica = await startRawReplica((request, socket) => {
    sockets.push(socket);
    socket.write(completeResponse(request, "whole"));
  });
  const agent = new ReplicaAgent(
    { maxConnections: 1, keepAlive: true },
    tcpConnect,
  );
  try {
    await callOnce(replica.address, agent);
    await callOnce(replica.address, agent);
    assert.equal(replica.connections(), 1);
    const [socket] = sockets;
    assert.ok(socket);
    const closed = once(socket, "close", {
      signal: AbortSignal.timeout(CLOSE_TIMEOUT_MS),
    });
    socket.write("x");
    await closed;
    await callOnce(replica.address, agent);
    assert.equal(replica.connections(), 2);
  } finally {
    agent.destroy();
    replica.stop();
  }
});
