/** Connections to replicas that are no longer listed. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { completeResponse, startRawReplica } from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";
import { startPool } from "./pool_rig.ts";

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
