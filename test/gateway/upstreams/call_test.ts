/** What is certain of a call whose connection ends. */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import {
  type CallOutcome,
  startCall,
} from "../../../src/gateway/upstreams/call.ts";
import { startRawReplica, whole } from "../raw_replica.ts";

/** A call after one that was answered; both over one kept connection or not. */
async function secondCall(
  { keepAlive, spentMs }: {
    readonly keepAlive: boolean;
    readonly spentMs: number;
  },
): Promise<CallOutcome> {
  let now = 0;
  const replica = await startRawReplica((request, socket) => {
    if (request.number === 1) return void socket.write(whole(request, ""));
    now = spentMs;
    socket.destroy();
  });
  const agent = new Agent({ keepAlive, maxSockets: 1 });
  const call = () =>
    startCall({
      address: replica.address,
      method: "GET",
      path: "/",
      headers: [],
      body: Buffer.alloc(0),
      agent,
      clock: { now: () => now, after: () => () => undefined },
      connectTimeoutMs: 1000,
    });
  try {
    const first = await call().outcome;
    assert.equal(first.type, "answer");
    if (first.type === "answer") {
      first.answer.message.resume();
      await new Promise((end) => first.answer.message.on("close", end));
    }
    await new Promise((resolve) => setImmediate(resolve));
    return await call().outcome;
  } finally {
    agent.destroy();
    replica.stop();
  }
}

test("a kept connection that ends at once was closed before the call", async () => {
  const cases = [
    { keepAlive: true, spentMs: 1, isStale: true },
    { keepAlive: true, spentMs: 20, isStale: false },
    { keepAlive: false, spentMs: 1, isStale: false },
  ];
  for (const { isStale, ...one } of cases) {
    const outcome = await secondCall(one);
    assert.equal(outcome.type, "broken");
    assert.equal(outcome.type === "broken" && outcome.isStale, isStale);
  }
});

for (const keepAlive of [true, false]) {
  test(`what waited for a connection isn't sent when it may go no more, ${keepAlive ? "kept" : "new"}`, async () => {
    let answerFirst: () => void = () => undefined;
    const replica = await startRawReplica((request, socket) => {
      answerFirst = () => void socket.write(whole(request, ""));
    });
    const agent = new Agent({ keepAlive, maxSockets: 1 });
    let isOpen = true;
    const call = () =>
      startCall({
        address: replica.address,
        method: "POST",
        path: "/",
        headers: [],
        body: Buffer.from("body"),
        agent,
        clock: { now: () => 0, after: () => () => undefined },
        connectTimeoutMs: 1000,
        mayGo: () => isOpen,
      });
    try {
      const first = call().outcome;
      const second = call().outcome;
      while (replica.requests.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      isOpen = false;
      answerFirst();
      const answered = await first;
      if (answered.type === "answer") answered.answer.message.resume();
      const outcome = await second;
      assert.ok(outcome.type === "notSent" && outcome.isWithheld);
      assert.equal(replica.requests.length, 1);
    } finally {
      agent.destroy();
      replica.stop();
    }
  });
}
