/**
 * Guards against responses of the store that take more memory than any listing: a
 * host held several of them whole, or all their objects, and exceeded its memory.
 */
import assert from "node:assert/strict";
import { connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { listen } from "../gateway/raw_replica.ts";
import { LOOPBACK } from "../loopback.ts";
import { SMALL_CHUNKS } from "./endless_replies.ts";
import { HOST_MEMORY_BYTES, withLimitedHost } from "./limited_host.ts";
import { sleep } from "./sleep.ts";

const RUN_MS = 5000;
/** What the store answers to each call. */
const CASES: Readonly<Record<string, string>> = {
  "pages of the store that are too long": emptyRows(60e6),
  "pages of the store whose objects take many times their size": emptyRows(
    11e6,
  ),
  "pages of the store of which each row is invalid": emptyRows(190e3),
  "listings of the store without end": JSON.stringify({
    Rows: [{ PrivateKey: "k", Value: "A".repeat(1e6), ver: 1 }],
    more: true,
    ver: 1,
    now_ms: 1,
  }),
};

/** A page of this length that holds empty objects. */
function emptyRows(bytes: number): string {
  const rows = "{},".repeat(bytes / 3);
  return `{"Rows":[${rows}{}],"more":false,"ver":1}`;
}

function responseOf(body: string): Buffer {
  const lines = [
    "HTTP/1.1 200 OK",
    "Store-Era: 1",
    `Content-Length: ${body.length}`,
  ];
  return Buffer.from([...lines, "", body].join("\r\n"));
}

for (const [what, body] of Object.entries(CASES)) {
  const name = `a host serves on beside ${what}`;
  test(name, knownRed(name), async () => {
    await checkBesideStore(responseOf(body));
  });
}

/** Fails unless a host serves on while its store answers all calls so. */
async function checkBesideStore(response: Buffer): Promise<void> {
  let isLong = false;
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => undefined);
    socket.on("close", () => sockets.delete(socket));
    if (isLong) return void socket.on("data", () => socket.write(response));
    const [host, port] = store.split(":");
    const upstream = connect(Number(port), host);
    upstream.on("error", () => socket.destroy());
    socket.on("close", () => upstream.destroy());
    socket.pipe(upstream).pipe(socket);
  });
  let store = "";
  const startProxy = async (address: string) => {
    store = address;
    return `${LOOPBACK}:${await listen(server)}`;
  };
  const options = { endless: SMALL_CHUNKS, startProxy };
  const figures = await withLimitedHost(options, async () => {
    isLong = true;
    for (const socket of sockets) socket.destroy();
    await sleep(RUN_MS);
  });
  server.close();
  const { exit, peakBytes, sound: { sent, statuses } } = figures;
  const served = statuses.filter((status) => status === 200);
  console.log(
    `Peak ${
      Math.round(peakBytes / 1e6)
    } MB; ${served.length} of ${sent} served`,
  );
  assert.equal(exit, undefined);
  assert.ok(peakBytes < HOST_MEMORY_BYTES, `Peak ${peakBytes} bytes`);
  assert.deepEqual(statuses, served);
}
