/** Connections to replicas that are no longer listed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { completeResponse, startRawReplica } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { SINGLE_GET, startPool } from "./pool_rig.ts";

/** Makes two calls in a row; returns the number of connections. */
async function connectionsOf(isListed: boolean): Promise<number> {
  const replica = await startRawReplica((request, socket) => {
    socket.write(completeResponse(request, "{}"));
  });
  const { pool } = startPool({ isListed });
  const entry = replicaEntry("a", { address: replica.address });
  try {
    for (let calls = 0; calls < 2; calls++) {
      const answer = await pool.sendControlCall(entry, {
        call: { method: "GET", path: "/" },
        timeoutMs: TEST_TIMEOUT_MS,
        check: { type: "none" },
      });
      assert.equal(answer?.status, 200);
    }
    return replica.connections();
  } finally {
    pool.close();
    replica.stop();
  }
}

test("connections to a listed replica are kept, those to others are not", async () => {
  assert.equal(await connectionsOf(true), 1);
  assert.equal(await connectionsOf(false), 2);
});

// Guards against a host that keeps the share of a young fleet, in which it knew
// few hosts, so that replicas got more connections than they accept.
test("a lower limit of connections closes those beyond it once their calls end", async () => {
  const replica = await startRawReplica((request, socket) => {
    socket.write(completeResponse(request, ""));
  });
  const { pool } = startPool();
  const entry = replicaEntry("a", { address: replica.address });
  let calls = 0;
  const send = async (maxConnections: number) => {
    const id = `${calls++}`;
    const { outcome } = pool.send({
      ...SINGLE_GET,
      entry,
      headers: ["x-id", id],
      id,
      maxConnections,
    });
    const sent = await outcome;
    assert.ok(sent.type === "answer");
    const { message } = sent.answer;
    message.resume();
    await new Promise((resolve) => message.on("close", resolve));
  };
  const sendAll = (maxConnections: number) =>
    Promise.all([1, 2, 3, 4].map(() => send(maxConnections)));
  try {
    await sendAll(4);
    assert.equal(replica.connections(), 4);
    await sendAll(1);
    while (replica.openConnections() > 1) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    await sendAll(1);
    assert.equal(replica.openConnections(), 1);
  } finally {
    pool.close();
    replica.stop();
  }
});
