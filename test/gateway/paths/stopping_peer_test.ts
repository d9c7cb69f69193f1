/**
 * Guards against calls that are cut at a host that goes on, because they began
 * over a tunnel through a host that stops.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { tcpConnect } from "../../../src/gateway/upstreams/connect.ts";
import { systemClock } from "../../../src/gateway/clock.ts";
import { openTunnel } from "../../../src/gateway/paths/tunnel_client.ts";
import { until } from "../raw_connection.ts";
import { completeResponse, startRawReplica } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { SINGLE_GET, startPool } from "../upstreams/pool_rig.ts";
import { startPeer, type TestPeerOptions } from "./test_peer.ts";

/** Starts a host that reaches its replica through a peer first. */
async function start(options: TestPeerOptions = {}) {
  const held: (() => void)[] = [];
  const replica = await startRawReplica((request, socket) => {
    const answer = () => void socket.write(completeResponse(request, ""));
    if (request.path === "/held") held.push(answer);
    else answer();
  });
  const peer = await startPeer(replica.address, options);
  const { pool, paths } = startPool({ peer: peer.address });
  const entry = { ...replicaEntry("a"), address: replica.address };
  paths.monitor.noteLost(entry, "checked");
  /** Makes a call; resolves with the other end of its connection. */
  const call = async (path = "/"): Promise<"peer" | "replica" | string> => {
    const outcome = await pool.send({ ...SINGLE_GET, entry, path }).outcome;
    if (outcome.type !== "answer") return outcome.reason;
    const { message, peer: via } = outcome.answer;
    await new Promise((resolve) => message.resume().on("close", resolve));
    return via?.address === peer.address ? "peer" : "replica";
  };
  const isServing = () => paths.carriers.isServing(peer.address);
  const release = () => {
    for (const answer of held.splice(0)) answer();
  };
  const stop = () => {
    pool.close();
    peer.stop();
    replica.stop();
  };
  return { replica, peer, paths, call, isServing, held, release, stop };
}

test("no call begins over an idle tunnel of a peer that has announced its stop", async () => {
  const { replica, peer, call, isServing, stop } = await start();
  try {
    assert.equal(await call(), "peer");
    await until(isServing);
    assert.equal(await call(), "peer");
    const connections = replica.connections();
    peer.beginStop();
    await until(() => !isServing());
    assert.equal(await call(), "replica");
    assert.equal(replica.connections(), connections + 1);
  } finally {
    stop();
  }
});

test("a call that waits begins over no tunnel of a peer that has announced its stop", async () => {
  const { peer, call, isServing, held, release, stop } = await start();
  try {
    assert.equal(await call(), "peer");
    await until(isServing);
    const first = call("/held");
    await until(() => held.length === 1);
    const waiting = call();
    peer.beginStop();
    await until(() => !isServing());
    release();
    assert.equal(await first, "peer");
    assert.equal(await waiting, "replica");
  } finally {
    stop();
  }
});

test("calls share a tunnel of a peer that goes on, also those that wait", async () => {
  const { replica, call, isServing, held, release, stop } = await start();
  try {
    assert.equal(await call(), "peer");
    await until(isServing);
    assert.equal(await call(), "peer");
    const connections = replica.connections();
    const first = call("/held");
    await until(() => held.length === 1);
    const waiting = call();
    release();
    assert.deepEqual(await Promise.all([first, waiting]), ["peer", "peer"]);
    assert.equal(replica.connections(), connections);
  } finally {
    stop();
  }
});

test("a peer of an earlier version carries one call a tunnel", async () => {
  const { replica, peer, call, stop } = await start({ isOld: true });
  try {
    assert.equal(await call(), "peer");
    await until(() => peer.links() === 1);
    assert.equal(await call(), "peer");
    assert.equal(await call(), "peer");
    assert.equal(replica.connections(), 3);
    assert.equal(peer.links(), 1);
  } finally {
    stop();
  }
});

// What it would announce is not received.
test("no call begins over a tunnel of a peer whose link is lost", async () => {
  const { replica, peer, call, isServing, stop } = await start();
  try {
    assert.equal(await call(), "peer");
    await until(isServing);
    assert.equal(await call(), "peer");
    const connections = replica.connections();
    peer.cutLinks();
    await until(() => !isServing());
    assert.equal(await call(), "peer");
    assert.equal(replica.connections(), connections + 1);
  } finally {
    stop();
  }
});

test("a link that is opened to a peer that stops learns of it", async () => {
  const { peer, paths, stop } = await start();
  try {
    peer.beginStop();
    paths.carriers.noteUsed(peer.address);
    await until(() => paths.carriers.isStopping(peer.address));
  } finally {
    stop();
  }
});

test("a peer that stops opens no tunnel, also if it was asked before", async () => {
  const connecting: Socket[] = [];
  const replica = await startRawReplica(() => undefined);
  const peer = await startPeer(replica.address, {
    connect: (options) => {
      const socket = tcpConnect(options);
      connecting.push(socket);
      // The stop begins while the peer connects to the replica.
      socket.prependOnceListener("connect", () => peer.beginStop());
      return socket;
    },
  });
  const open = () =>
    openTunnel(
      { self: "host", peer: peer.address, replica: replica.address },
      { clock: systemClock, timeoutMs: TEST_TIMEOUT_MS },
    ).outcome;
  try {
    assert.deepEqual(await open(), { type: "unavailable" });
    assert.deepEqual(await open(), { type: "unavailable" });
    assert.equal(connecting.length, 1);
  } finally {
    peer.stop();
    replica.stop();
  }
});
