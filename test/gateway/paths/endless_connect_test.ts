/**
 * Guards against peers that answer a CONNECT request with bytes without end, and
 * against replicas that send them before their request: the host read them for
 * as long as it waited, and others waited for it.
 */
import assert from "node:assert/strict";
import { createServer, type Socket } from "node:net";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import { openTunnel } from "../../../src/gateway/paths/tunnel_client.ts";
import { sendWithoutEnd } from "../../soak/endless_replies.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { SINGLE_GET, startPool } from "../upstreams/pool_rig.ts";
import { listen } from "./test_peer.ts";

const COUNTS = [1, 100];
/** With what the system's buffers of a connection hold. */
const MAX_SENT_BYTES = 16e6;
const OPEN = "HTTP/1.1 200 OK\r\n\r\n";
const REPLICA = "127.0.0.1:1";

/** What a peer sends once, and then without end. */
type Bytes = { readonly start: string; readonly piece: string };

/** What was sent over the connections to a peer. */
type Sent = {
  /** Bytes over each connection. */
  readonly bytes: readonly number[];
  /** Number of connections that asked for a tunnel. */
  readonly tunnels: number;
};

/** A peer that answers all that it gets with bytes without end. */
async function withPeer(
  { start, piece }: Bytes,
  work: (peer: string) => Promise<void>,
): Promise<Sent> {
  const sockets: Socket[] = [];
  let tunnels = 0;
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => undefined);
    socket.once("data", (request) => {
      if (String(request).startsWith("CONNECT ")) tunnels += 1;
      socket.write(start);
      sendWithoutEnd(socket, piece);
    });
  });
  const peer = await listen(server);
  try {
    await work(peer);
    const bytes = sockets.map((socket) =>
      socket.bytesWritten - socket.writableLength
    );
    return { bytes, tunnels };
  } finally {
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

function checkSent({ bytes, tunnels }: Sent, count: number): void {
  assert.equal(tunnels, count);
  const tooMany = bytes.filter((sent) => sent > MAX_SENT_BYTES);
  assert.deepEqual(tooMany, []);
}

const ANSWERS: Readonly<Record<string, Bytes & { readonly type: string }>> = {
  "bytes that are no response": {
    start: "",
    piece: "x",
    type: "unavailable",
  },
  "headers": {
    start: "HTTP/1.1 200 OK\r\n",
    piece: "a: b\r\n",
    type: "unavailable",
  },
  "interim responses": {
    start: "",
    piece: "HTTP/1.1 102 Processing\r\n\r\n",
    type: "unavailable",
  },
  "the body of a refusal": {
    start: "HTTP/1.1 504 No\r\nTransfer-Encoding: chunked\r\n\r\n",
    piece: "1\r\nx\r\n",
    type: "unreachable",
  },
  "bytes behind the head": { start: OPEN, piece: "x", type: "open" },
};

for (const [what, { type, ...bytes }] of Object.entries(ANSWERS)) {
  const name = `a host doesn't read a peer's answer without end: ${what}`;
  test(name, async () => {
    for (const count of COUNTS) {
      const sent = await withPeer(bytes, async (peer) => {
        const opened = Array.from({ length: count }, () => {
          const ends = { self: "host", peer, replica: REPLICA };
          const options = { clock: systemClock, timeoutMs: TEST_TIMEOUT_MS };
          return openTunnel(ends, options).outcome;
        });
        for (const outcome of await Promise.all(opened)) {
          assert.equal(outcome.type, type);
          if (outcome.type === "open") outcome.socket.destroy();
        }
      });
      checkSent(sent, count);
    }
  });
}

const EARLY: Readonly<Record<string, Bytes>> = {
  "bytes that are no response": { start: OPEN, piece: "x" },
  "headers": { start: `${OPEN}HTTP/1.1 200 OK\r\n`, piece: "a: b\r\n" },
  "interim responses": {
    start: OPEN,
    piece: "HTTP/1.1 102 Processing\r\n\r\n",
  },
};

for (const [what, bytes] of Object.entries(EARLY)) {
  const name = `a call over a tunnel ends by bytes without end: ${what}`;
  test(name, async () => {
    for (const count of COUNTS) {
      const sent = await withPeer(bytes, async (peer) => {
        const { pool, paths } = startPool({ peer });
        const entry = { ...replicaEntry("a"), address: REPLICA };
        paths.monitor.noteLost(entry, "checked");
        const calls = Array.from(
          { length: count },
          () =>
            pool.send({ ...SINGLE_GET, entry, maxConnections: count }).outcome,
        );
        for (const { type } of await Promise.all(calls)) {
          assert.notEqual(type, "answer");
        }
        pool.close();
      });
      checkSent(sent, count);
    }
  });
}
