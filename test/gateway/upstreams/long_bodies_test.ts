/** Guards against long responses of sound replicas that stop halfway. */
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { Agent } from "node:http";
import { test } from "node:test";
import { systemClock } from "../../../src/gateway/clock.ts";
import { startCall } from "../../../src/gateway/upstreams/call.ts";
import { chunk, chunkedHeaders, startRawReplica } from "../raw_replica.ts";

const CALLS = 3;
const PIECES = 400;
const PIECE = Array.from({ length: 16 * 1024 }, (_, at) => at % 10).join("");
/** Small chunks between the pieces, which are read together. */
const SMALL = Array.from({ length: 300 }, (_, at) => String(at % 10));
const PARTS_BEFORE_PAUSE = 50;

const WHOLE = createHash("sha256");
for (let at = 0; at < PIECES; at++) WHOLE.update(PIECE + SMALL.join(""));
const DIGEST = WHOLE.digest("hex");

async function digestOf(address: string, agent: Agent): Promise<string> {
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
  const { message } = called.answer;
  const hash = createHash("sha256");
  let parts = 0;
  message.on("data", (part: Buffer) => {
    hash.update(part);
    parts += 1;
    if (parts % PARTS_BEFORE_PAUSE !== 0) return;
    message.pause();
    setTimeout(() => message.resume(), 1);
  });
  await new Promise((resolve) => message.on("close", resolve));
  assert.equal(message.complete, true);
  return hash.digest("hex");
}

test("long responses are read whole, whatever the pace of their readers", async () => {
  const replica = await startRawReplica((request, socket) => {
    const piece = chunk(PIECE) + SMALL.map(chunk).join("");
    socket.write(chunkedHeaders(request) + piece.repeat(PIECES) + chunk(""));
  });
  const agent = new Agent({ keepAlive: true, maxSockets: CALLS });
  try {
    for (let round = 0; round < 2; round++) {
      const calls = Array.from(
        { length: CALLS },
        () => digestOf(replica.address, agent),
      );
      assert.deepEqual(await Promise.all(calls), calls.map(() => DIGEST));
    }
  } finally {
    agent.destroy();
    replica.stop();
  }
});
