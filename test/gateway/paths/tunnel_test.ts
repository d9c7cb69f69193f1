/** Connections to replicas through a peer: who may open them, how they end. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { createServer as createTcpServer, type Socket } from "node:net";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import {
  openTunnel,
  type TunnelOutcome,
} from "../../../src/gateway/paths/tunnel_client.ts";
import { knownRed } from "../../known_red.ts";
import { ODD_ADDRESSES } from "../../platform/odd_rows.ts";
import { completeResponse, startRawReplica } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { SINGLE_GET, startPool } from "../upstreams/pool_rig.ts";
import { listen, startPeer, TEST_RUN, type TestPeer } from "./test_peer.ts";

function open(peer: string, replica: string): Promise<TunnelOutcome> {
  const options = { clock: systemClock, timeoutMs: TEST_TIMEOUT_MS };
  return openTunnel({ self: "host", peer, replica }, options).outcome;
}

/** Opens a tunnel to a replica that handles its connection with `work`. */
async function withTunnel(
  work: (socket: Socket) => void,
  check: (tunnel: Socket, peer: TestPeer, replica: Socket) => Promise<void>,
): Promise<void> {
  const server = createTcpServer(work);
  const address = await listen(server);
  const peer = await startPeer(address);
  const connected = once(server, "connection");
  const outcome = await open(peer.address, address);
  const [replica] = await connected as [Socket];
  replica.on("error", () => undefined);
  try {
    assert.equal(outcome.type, "open");
    if (outcome.type !== "open") return;
    outcome.socket.on("error", () => undefined);
    await check(outcome.socket, peer, replica);
    outcome.socket.destroy();
  } finally {
    peer.stop();
    replica.destroy();
    server.close();
  }
}

test("a tunnel carries bytes both ways and the end of a response", async () => {
  await withTunnel((socket) => {
    socket.on("data", (bytes) => socket.end(`re: ${String(bytes)}`));
  }, async (tunnel) => {
    let received = "";
    tunnel.on("data", (bytes) => received += String(bytes));
    tunnel.write("hello");
    await once(tunnel, "end");
    assert.equal(received, "re: hello");
    assert.notEqual(tunnel.remoteAddress, undefined);
  });
});

/** Whether the tunnel ends in order or by a reset. */
function endingOf(tunnel: Socket): Promise<"end" | "reset"> {
  return new Promise((resolve) => {
    tunnel.on("error", () => resolve("reset"));
    tunnel.on(
      "end",
      () => resolve(tunnel.remoteAddress === undefined ? "reset" : "end"),
    );
    tunnel.resume();
  });
}

test("a connection that the replica resets does not look like a complete one", async () => {
  await withTunnel(() => undefined, async (tunnel, _peer, replica) => {
    const ended = endingOf(tunnel);
    replica.resetAndDestroy();
    assert.equal(await ended, "reset");
  });
});

const EARLY =
  "bytes that a replica sends before its request are not lost with the head of a tunnel";
test(EARLY, knownRed(EARLY), async () => {
  // A replica may refuse a connection before it has read a request.
  const refusal = "HTTP/1.1 503 Full\r\ncontent-length: 0\r\n\r\n";
  const server = createServer();
  server.on("connect", (_request, socket: Socket) => {
    socket.on("error", () => undefined);
    socket.end(`HTTP/1.1 200 OK\r\n\r\n${refusal}`);
  });
  const outcome = await open(await listen(server), "127.0.0.1:1");
  server.close();
  assert.equal(outcome.type, "open");
  if (outcome.type !== "open") return;
  let received = "";
  outcome.socket.on("data", (bytes) => received += String(bytes));
  await once(outcome.socket, "end");
  assert.equal(received, refusal);
  outcome.socket.destroy();
});

test("a tunnel that the peer closes does not look like the end of a response", async () => {
  await withTunnel(() => undefined, async (tunnel, peer) => {
    const ended = endingOf(tunnel);
    peer.tunnels.close();
    assert.equal(await ended, "reset");
  });
});

test("a tunnel that its host closes closes the connection to the replica", async () => {
  await withTunnel(
    (socket) => socket.resume(),
    async (tunnel, peer, replica) => {
      const closed = once(replica, "close");
      tunnel.destroy();
      await closed;
      while (peer.tunnels.size > 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
    },
  );
});

test("a peer connects to listed replicas that it reaches, and to nothing else", async () => {
  const server = createTcpServer((socket) => socket.destroy());
  const address = await listen(server);
  const peers = [
    await startPeer("127.0.0.1:1"),
    await startPeer(address, { isLost: true }),
  ];
  const outcomes = await Promise.all(
    peers.map((peer) => open(peer.address, address)),
  );
  for (const peer of peers) peer.stop();
  server.close();
  const types = outcomes.map((outcome) => outcome.type);
  assert.deepEqual(types, ["unavailable", "unreachable"]);
});

test("a peer reports a refused connection only if it reaches other replicas", async () => {
  const server = createTcpServer();
  const address = await listen(server);
  server.close();
  await once(server, "close");
  const peers = [
    await startPeer(address, { isConfirmed: true }),
    await startPeer(address, { isConfirmed: false }),
  ];
  const outcomes = await Promise.all(
    peers.map((peer) => open(peer.address, address)),
  );
  for (const peer of peers) peer.stop();
  const types = outcomes.map((outcome) => outcome.type);
  assert.deepEqual(types, ["refused", "unreachable"]);
});

test("a peer of an earlier version, which serves no tunnels, is unavailable", async () => {
  const server = createServer((_request, response) => response.end());
  const address = await listen(server);
  const outcome = await open(address, "127.0.0.1:1");
  server.closeAllConnections();
  server.close();
  assert.equal(outcome.type, "unavailable");
});

test("an answer names the process of the peer that it came through", async () => {
  const replica = await startRawReplica((request, socket) => {
    socket.write(completeResponse(request, ""));
  });
  const peer = await startPeer(replica.address);
  const { pool, paths } = startPool({ peer: peer.address });
  const entry = { ...replicaEntry("a"), address: replica.address };
  const peerOfAnswer = async () => {
    const outcome = await pool.send({ ...SINGLE_GET, entry }).outcome;
    if (outcome.type !== "answer") return outcome.reason;
    outcome.answer.message.resume();
    return outcome.answer.peer;
  };
  try {
    assert.equal(await peerOfAnswer(), undefined);
    paths.monitor.noteLost(entry, "checked");
    assert.deepEqual(await peerOfAnswer(), {
      address: peer.address,
      run: TEST_RUN,
    });
  } finally {
    pool.close();
    peer.stop();
    replica.stop();
  }
});

const INVALID = "a tunnel with an invalid address at either end is unavailable";
test(INVALID, knownRed(INVALID), async () => {
  const peer = await startPeer("127.0.0.1:9");
  try {
    for (const address of ODD_ADDRESSES) {
      const name = JSON.stringify(address.slice(0, 100));
      const toReplica = await open(peer.address, address);
      assert.deepEqual(toReplica, { type: "unavailable" }, name);
      const throughPeer = await open(address, "127.0.0.1:9");
      assert.deepEqual(throughPeer, { type: "unavailable" }, name);
    }
  } finally {
    peer.stop();
  }
});
