/** Whether a replica that is no longer listed still runs. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { isReplicaAlive } from "../../../src/gateway/replicas/health_check.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import { type Rig, withRig } from "../rig.ts";

const TIMEOUT_MS = 5000;

async function isAlive(
  answer: RawAnswer,
  before: (rig: Rig) => void = () => undefined,
): Promise<boolean> {
  let result = false;
  await withRig({ replicas: [{ answer }] }, async (rig) => {
    const { context } = rig;
    context.routes.adopt({
      version: 2,
      routes: [],
      services: [{
        name: "service",
        connectionLimit: 100,
        healthPath: "/health",
      }],
      limits: { bodyBytes: 1, headerMs: TIMEOUT_MS, idleMs: TIMEOUT_MS },
    });
    const entry = context.replicas.get("r0")?.entry;
    assert.ok(entry);
    before(rig);
    result = await isReplicaAlive(context, entry);
  });
  return result;
}

const answersAs = (id: string): RawAnswer => (request, socket) => {
  socket.write(completeResponse(request, "", [`x-health-id: ${id}`]));
};

test("a replica that responds to the health check runs", async () => {
  assert.equal(await isAlive(answersAs("r0")), true);
});

test("a replica whose address responds as another one has ended", async () => {
  assert.equal(await isAlive(answersAs("r1")), false);
});

test("a replica that is listed at a later start has ended, although its id responds", async () => {
  const restart = ({ context: { replicas } }: Rig) => {
    const entries = replicas.entries()
      .map((entry) => ({ ...entry, born: 2, incarnation: "r0@2" }));
    replicas.adopt({ revision: replicas.revision + 1, entries });
  };
  assert.equal(await isAlive(answersAs("r0"), restart), false);
});

test("a replica whose address refuses connections has ended", async () => {
  const stop = (rig: Rig) => rig.replicas[0]?.stop();
  assert.equal(await isAlive(answersAs("r0"), stop), false);
});

test("a replica that is too busy to respond in time, and listens, runs", async () => {
  assert.equal(await isAlive(() => undefined), true);
});
