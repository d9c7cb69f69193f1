/**
 * Guards against a request that counts as not sent though its replica received
 * it: it would be sent to another one, or refused as if it had not run.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { systemClock } from "../../../src/gateway/clock.ts";
import { startCall } from "../../../src/gateway/upstreams/call.ts";
import { ReplicaAgent } from "../../../src/gateway/upstreams/replica_agent.ts";
import { tcpConnect } from "../../../src/gateway/upstreams/connect.ts";
import { completeResponse, startRawReplica } from "../raw_replica.ts";
import { TEST_TIMEOUT_MS } from "../test_tuning.ts";

/** After how many turns of the event loop a call is aborted; never if absent. */
type Abort = number | undefined;

async function turns(count: number): Promise<void> {
  for (let turn = 0; turn < count; turn++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

/** Makes calls that are aborted; returns those not sent that were received. */
async function wronglyNotSent(
  aborts: readonly Abort[],
  { keepAlive, maxConnections }: {
    readonly keepAlive: boolean;
    readonly maxConnections: number;
  },
): Promise<string[]> {
  const replica = await startRawReplica((request, socket) => {
    socket.write(completeResponse(request, "body"));
  });
  const agent = new ReplicaAgent({ keepAlive, maxConnections }, tcpConnect);
  const notSent: string[] = [];
  const run = async (abort: Abort, at: number) => {
    const id = `${at}`;
    const call = startCall({
      address: replica.address,
      method: "POST",
      path: "/",
      headers: ["x-id", id],
      body: Buffer.from("body"),
      id,
      agent,
      clock: systemClock,
      connectTimeoutMs: TEST_TIMEOUT_MS,
    });
    if (abort !== undefined) {
      await turns(abort);
      call.abort("The request ended");
    }
    const outcome = await call.outcome;
    if (outcome.type === "notSent") notSent.push(id);
    if (outcome.type === "answer") outcome.answer.message.resume();
  };
  try {
    await Promise.all(aborts.map(run));
    await turns(10);
    const received = replica.requests.map(({ headers }) => headers.get("x-id"));
    return notSent.filter((id) => received.includes(id));
  } finally {
    agent.destroy();
    replica.stop();
  }
}

test("a call that ends at any time and counts as not sent never reaches its replica", async () => {
  const aborts = fc.array(
    fc.option(fc.integer({ min: 0, max: 20 }), { nil: undefined }),
    { minLength: 1, maxLength: 12 },
  );
  const agents = fc.record({
    keepAlive: fc.boolean(),
    maxConnections: fc.integer({ min: 1, max: 3 }),
  });
  await fc.assert(
    fc.asyncProperty(aborts, agents, async (ends, options) => {
      assert.deepEqual(await wronglyNotSent(ends, options), []);
    }),
    { numRuns: 200 },
  );
});
