/** Outcomes of calls whose connection closes or that are withheld. */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { test } from "node:test";
import {
  type Call,
  type CallOutcome,
  NotSentCause,
  startCall,
} from "../../../src/gateway/upstreams/call.ts";
import { knownRed } from "../../known_red.ts";
import {
  completeResponse,
  type RawReplica,
  startRawReplica,
} from "../raw_replica.ts";

/** Starts a call without timers. */
function getFrom(
  replica: RawReplica,
  agent: Agent,
  now: () => number,
): Call {
  return startCall({
    address: replica.address,
    method: "GET",
    path: "/",
    headers: [],
    body: Buffer.alloc(0),
    agent,
    clock: { now, after: () => () => undefined },
    connectTimeoutMs: 1000,
  });
}

/**
 * Outcome of a call that follows an answered one. The replica closes the
 * connection `elapsedMs` after the start of the second call.
 */
async function secondCall(
  { keepAlive, elapsedMs, part = "" }: {
    readonly keepAlive: boolean;
    readonly elapsedMs: number;
    /** Sent before the connection closes. */
    readonly part?: string;
  },
): Promise<CallOutcome> {
  let now = 0;
  const replica = await startRawReplica((request, socket) => {
    if (request.number === 1) {
      return void socket.write(completeResponse(request, ""));
    }
    now = elapsedMs;
    if (part === "") return void socket.destroy();
    socket.end(part);
  });
  const agent = new Agent({ keepAlive, maxSockets: 1 });
  const call = () => getFrom(replica, agent, () => now);
  try {
    const first = await call().outcome;
    assert.equal(first.type, "answer");
    if (first.type === "answer") {
      first.answer.message.resume();
      await new Promise((resolve) => first.answer.message.on("close", resolve));
    }
    await new Promise((resolve) => setImmediate(resolve));
    return await call().outcome;
  } finally {
    agent.destroy();
    replica.stop();
  }
}

test("only a reused connection that closes at once counts as stale", async () => {
  const cases = [
    { keepAlive: true, elapsedMs: 1, isStale: true },
    { keepAlive: true, elapsedMs: 20, isStale: false },
    { keepAlive: false, elapsedMs: 1, isStale: false },
  ];
  for (const { isStale, ...options } of cases) {
    const outcome = await secondCall(options);
    assert.equal(outcome.type, "broken");
    assert.equal(outcome.type === "broken" && outcome.isStale, isStale);
  }
});

const PART_OF_HEAD =
  "a reused connection that brought a part of a head was not stale";
// Guards against replicas that end in their responses and count as idle.
test(PART_OF_HEAD, knownRed(PART_OF_HEAD), async () => {
  const head = "HTTP/1.1 200 OK\r\nx-id: 1\r\n";
  for (let bytes = 1; bytes <= head.length; bytes++) {
    const part = head.slice(0, bytes);
    const outcome = await secondCall({ keepAlive: true, elapsedMs: 1, part });
    assert.equal(outcome.type === "broken" && outcome.isStale, false, part);
  }
});

// Guards against a closed connection that is taken for a crash under the call.
test("a call that waited for a connection that closes at once counts as stale", async () => {
  let now = 0;
  let respondToFirst: () => void = () => undefined;
  const replica = await startRawReplica((request, socket) => {
    if (request.number > 1) return void socket.destroy();
    respondToFirst = () => void socket.write(completeResponse(request, ""));
  });
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const call = () => getFrom(replica, agent, () => now);
  try {
    const first = call().outcome;
    const second = call().outcome;
    while (replica.requests.length === 0) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    // The second call waits for as long as the first one runs.
    now = 1000;
    respondToFirst();
    const firstOutcome = await first;
    if (firstOutcome.type === "answer") firstOutcome.answer.message.resume();
    const outcome = await second;
    assert.ok(outcome.type === "broken" && outcome.isStale);
  } finally {
    agent.destroy();
    replica.stop();
  }
});

for (const keepAlive of [true, false]) {
  test(`a call that waited for a ${keepAlive ? "reused" : "new"} connection isn't sent once sending is no longer allowed`, async () => {
    let respondToFirst: () => void = () => undefined;
    const replica = await startRawReplica((request, socket) => {
      respondToFirst = () => void socket.write(completeResponse(request, ""));
    });
    const agent = new Agent({ keepAlive, maxSockets: 1 });
    let maySend = true;
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
        maySend: () => maySend,
      });
    try {
      const first = call().outcome;
      const second = call().outcome;
      while (replica.requests.length === 0) {
        await new Promise((resolve) => setImmediate(resolve));
      }
      maySend = false;
      respondToFirst();
      const firstOutcome = await first;
      if (firstOutcome.type === "answer") firstOutcome.answer.message.resume();
      const outcome = await second;
      assert.ok(
        outcome.type === "notSent" && outcome.cause === NotSentCause.withheld,
      );
      assert.equal(replica.requests.length, 1);
    } finally {
      agent.destroy();
      replica.stop();
    }
  });
}

test("a call that is aborted while it waits for a connection ends at once", async () => {
  const replica = await startRawReplica(() => undefined);
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const call = () => getFrom(replica, agent, () => 0);
  try {
    // The replica answers nothing, so the first call keeps the connection.
    const first = call();
    const second = call();
    second.abort("No longer needed");
    const outcome = await second.outcome;
    assert.equal(outcome.type, "notSent");
    first.abort("The test ended");
    await first.outcome;
  } finally {
    agent.destroy();
    replica.stop();
  }
});
