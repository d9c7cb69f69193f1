/** Idle connections that a replica ends, as one that crashes does. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import {
  completeResponse,
  type RawAnswer,
  startRawReplica,
} from "../raw_replica.ts";
import { replicaEntry } from "../replica_entry.ts";
import { SINGLE_GET, startPool } from "./pool_rig.ts";

/** Makes two calls over one connection; returns the ends that were noticed. */
async function endIdle(end: (socket: Socket) => void): Promise<string[]> {
  let connection: Socket | undefined;
  const answer: RawAnswer = (request, socket) => {
    connection = socket;
    socket.write(completeResponse(request, ""));
  };
  const replica = await startRawReplica(answer);
  const { pool } = startPool();
  const ended: string[] = [];
  pool.listenForIdleEnds(({ incarnation }) => ended.push(incarnation));
  const entry = replicaEntry("a", { address: replica.address });
  for (let calls = 0; calls < 2; calls++) {
    const outcome = await pool.send({ ...SINGLE_GET, entry }).outcome;
    assert.equal(outcome.type, "answer");
    if (outcome.type !== "answer") return ended;
    const { message } = outcome.answer;
    await new Promise((resolve) => message.resume().on("close", resolve));
  }
  assert.equal(replica.connections(), 1);
  if (connection) end(connection);
  while (replica.openConnections() > 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  await new Promise((resolve) => setTimeout(resolve, 20));
  pool.close();
  replica.stop();
  return ended;
}

test("an idle connection that its replica ends or resets is noticed once", async () => {
  assert.deepEqual(await endIdle((socket) => socket.end()), ["a"]);
  assert.deepEqual(await endIdle((socket) => socket.resetAndDestroy()), ["a"]);
});
