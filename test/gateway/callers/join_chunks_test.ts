/** Guards against bodies that lose or reorder parts when their chunks are joined. */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { joinChunks } from "../../../src/gateway/callers/join_chunks.ts";
import { listen } from "../raw_replica.ts";
import { LOOPBACK } from "../../loopback.ts";

const SIZES = [1, 1, 3, 5000, 1, 4095, 4096, 2, 20_000, 1, 1, 70_000, 7];

/** Bytes that differ from one chunk to the next. */
const CHUNKS = Array.from(
  { length: 40 * SIZES.length },
  (_, at) => Buffer.alloc(SIZES[at % SIZES.length] ?? 1, at % 251),
);

function framed(chunk: Buffer): Buffer {
  const size = chunk.length.toString(16);
  return Buffer.concat([
    Buffer.from(`${size}\r\n`),
    chunk,
    Buffer.from("\r\n"),
  ]);
}

for (const pauseMs of [0, 20]) {
  test(`joined chunks are read whole and in order, with pauses of ${pauseMs} ms`, async () => {
    let partCount = 0;
    const received: Buffer[] = [];
    const server = createServer((request, response) => {
      joinChunks(request);
      request.on("data", (part: Buffer) => {
        partCount += 1;
        received.push(part);
        if (pauseMs === 0) return;
        request.pause();
        setTimeout(() => request.resume(), pauseMs);
      });
      request.on("end", () => response.end());
    });
    const socket = connect(await listen(server), LOOPBACK);
    const answered = new Promise((resolve) => socket.once("data", resolve));
    socket.write(
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
    );
    for (const chunk of CHUNKS) socket.write(framed(chunk));
    socket.write("0\r\n\r\n");
    await answered;
    socket.destroy();
    server.close();
    assert.ok(Buffer.concat(received).equals(Buffer.concat(CHUNKS)));
    assert.ok(partCount <= CHUNKS.length, `${partCount} parts`);
  });
}
