/**
 * Guards against responses of small chunks: each chunk was held, scanned and
 * forwarded by itself, which used up the memory of the host.
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import { startCall } from "../../../src/gateway/upstreams/call.ts";
import { systemClock } from "../../../src/gateway/clock.ts";
import {
  chunk,
  chunkedHeaders,
  type RawAnswer,
  startRawReplica,
} from "../raw_replica.ts";

const CHUNKS = 2000;
const TEXTS = Array.from({ length: CHUNKS }, (_, at) => String(at % 10));
const BODY = TEXTS.join("");

/** The parts of the response to a call, as its reader gets them. */
async function partsOf(
  answer: RawAnswer,
  { pausesAt = -1 }: { readonly pausesAt?: number } = {},
): Promise<{ readonly parts: string[]; readonly isComplete: boolean }> {
  const replica = await startRawReplica(answer);
  const agent = new Agent({ keepAlive: true });
  try {
    const { outcome } = startCall({
      clock: systemClock,
      connectTimeoutMs: 10_000,
      address: replica.address,
      method: "GET",
      path: "/",
      headers: [],
      body: Buffer.alloc(0),
      agent,
    });
    const called = await outcome;
    assert.equal(called.type, "answer");
    if (called.type !== "answer") throw new Error("No response");
    const { message } = called.answer;
    const parts: string[] = [];
    message.on("data", (part: Buffer) => {
      parts.push(part.toString());
      if (parts.length !== pausesAt) return;
      message.pause();
      setTimeout(() => message.resume(), 100);
    });
    await new Promise((resolve) => message.on("close", resolve));
    return { parts, isComplete: message.complete };
  } finally {
    agent.destroy();
    replica.stop();
  }
}

const whole: RawAnswer = (request, socket) => {
  const chunks = TEXTS.map(chunk).join("") + chunk("");
  socket.write(chunkedHeaders(request) + chunks);
};

test("chunks that arrive together are read as few parts", async () => {
  const { parts, isComplete } = await partsOf(whole);
  assert.equal(parts.join(""), BODY);
  assert.equal(isComplete, true);
  assert.ok(parts.length < 10, `${parts.length} parts`);
});

test("chunks that arrive while their reader pauses are read in order", async () => {
  for (const pausesAt of [1, 2]) {
    const { parts, isComplete } = await partsOf(whole, { pausesAt });
    assert.equal(parts.join(""), BODY);
    assert.equal(isComplete, true);
  }
});

test("chunks before a truncation are read", async () => {
  const { parts, isComplete } = await partsOf((request, socket) => {
    socket.end(chunkedHeaders(request) + TEXTS.map(chunk).join(""));
  });
  assert.equal(parts.join(""), BODY);
  assert.equal(isComplete, false);
});

test("a part is read before the next one arrives", async () => {
  let isFirstRead = false;
  const { parts } = await partsOf((request, socket) => {
    socket.write(chunkedHeaders(request) + chunk("a") + chunk("b"));
    setTimeout(() => {
      isFirstRead = true;
      socket.write(chunk("c") + chunk(""));
    }, 200);
  });
  assert.equal(isFirstRead, true);
  assert.deepEqual(parts, ["a", "b", "c"]);
});
