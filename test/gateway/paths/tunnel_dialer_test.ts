/** What the answers and the silence of several peers are taken for. */
import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { test } from "node:test";
import { TunnelDialer } from "../../../src/gateway/paths/tunnel_dialer.ts";
import {
  type TunnelOutcome,
  TunnelStatus,
} from "../../../src/gateway/paths/tunnel_client.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { LOOPBACK } from "../../loopback.ts";
import { replicaEntry } from "../replica_entry.ts";

const ENTRY = replicaEntry("a");
const TIMEOUT_MS = 300;

/** How a peer answers a request for a tunnel; undefined: not at all. */
type PeerStatus =
  | typeof TunnelStatus.open
  | typeof TunnelStatus.unreachable
  | undefined;

/** Starts two peers with these answers, and a dialer that asks them. */
async function start(statuses: [PeerStatus, PeerStatus]) {
  const time = new VirtualTime();
  const answers: string[] = [];
  const sockets = new Set<Socket>();
  const servers = statuses.map((_, at) =>
    createServer().on("connect", (_request, socket: Socket) => {
      sockets.add(socket.on("error", () => undefined));
      const status = statuses[at];
      if (status) socket.write(`HTTP/1.1 ${status} Answer\r\n\r\n`);
    })
  );
  const peers = await Promise.all(servers.map(async (server, at) => {
    server.listen(0, LOOPBACK);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    return { id: `peer-${at}`, address: `${LOOPBACK}:${port}`, hall: "hall" };
  }));
  const dialer = new TunnelDialer({
    clock: time.clock,
    self: { id: "self", hall: "hall" },
    peers: () => peers,
    metrics: { count: (name) => void answers.push(name) },
    carriers: { isStopping: () => false },
  });
  /** Opens a tunnel; the time-out comes after `answerCount` answers. */
  const open = async (answerCount: number): Promise<TunnelOutcome["type"]> => {
    answers.length = 0;
    const outcome = dialer.open(ENTRY, TIMEOUT_MS);
    await time.runTo(time.now + TIMEOUT_MS / 2);
    while (answers.length < answerCount) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    await time.runTo(time.now + TIMEOUT_MS);
    const opened = await outcome;
    if (opened.type === "open") opened.socket.destroy();
    return opened.type;
  };
  const stop = () => {
    for (const socket of sockets) socket.destroy();
    for (const server of servers) server.close();
  };
  return { statuses, open, stop };
}

test("peers that all do not reach a replica decide that it is unreachable", async () => {
  const { unreachable } = TunnelStatus;
  const { open, stop } = await start([unreachable, unreachable]);
  try {
    assert.equal(await open(2), "unreachable");
  } finally {
    stop();
  }
});

test("a peer that has reached the replica and is silent now leaves it undecided", async () => {
  const { open: opens, unreachable } = TunnelStatus;
  const { statuses, open, stop } = await start([opens, unreachable]);
  try {
    assert.equal(await open(1), "open");
    statuses[0] = undefined;
    assert.equal(await open(1), "unavailable");
    statuses[0] = unreachable;
    assert.equal(await open(2), "unreachable");
  } finally {
    stop();
  }
});

test("a silent peer that has not reached the replica before decides nothing", async () => {
  const { open, stop } = await start([undefined, TunnelStatus.unreachable]);
  try {
    assert.equal(await open(1), "unreachable");
  } finally {
    stop();
  }
});
