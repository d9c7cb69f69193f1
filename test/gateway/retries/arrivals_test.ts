/**
 * Guards against exceeding the retry budget when replicas reject prefills:
 * whatever is sent after a rejected prefill must be charged as a retry.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";

const MAX_RETRIES = 5;
const REQUESTS = 20;

const rejects: RawAnswer = (request, socket) => {
  const answer = completeResponse(request, "", ["x-not-run: 1"]);
  socket.write(answer.replace("200 OK", "429 Too Many Requests"));
};
const prefills: RawAnswer = (request, socket) => {
  socket.write(completeResponse(request, '{"export":"e"}'));
};
const decodes: RawAnswer = (request, socket) => {
  const isReserve = request.path === "/reserve";
  socket.write(
    completeResponse(request, isReserve ? '{"reservation":"r"}' : "answer"),
  );
};

const prefillReplica = (answer: RawAnswer) => ({
  answer,
  stage: ReplicaStage.prefill,
});
const DECODE_REPLICA = { answer: decodes, stage: ReplicaStage.decode };

/** Arrivals beyond each request's first; one accepted prefill is free. */
function retriesOf(
  { replicas }: Rig,
  rejectingReplicas: ReadonlySet<number>,
): number {
  const counted = new Map<string, number>();
  const prefilled = new Set<string>();
  const count = (request: RawRequest, at: number) => {
    const id = request.headers.get("x-id");
    if (id === undefined || request.path === "/reserve") return;
    const isPrefill = request.headers.get("x-mode") === "prefill";
    const isFree = isPrefill && !rejectingReplicas.has(at) &&
      !prefilled.has(id);
    if (isFree) prefilled.add(id);
    else counted.set(id, (counted.get(id) ?? 0) + 1);
  };
  for (const [at, { requests }] of replicas.entries()) {
    for (const request of requests) count(request, at);
  }
  let retries = 0;
  for (const arrivals of counted.values()) retries += arrivals - 1;
  return retries;
}

test("sends after a rejected prefill stay within the retry budget", async () => {
  const rejectingReplicas = Array.from(
    { length: 8 },
    () => prefillReplica(rejects),
  );
  await withRig({
    engine: ENGINE,
    budget: { ratio: 0, extra: MAX_RETRIES },
    replicas: [...rejectingReplicas, DECODE_REPLICA],
  }, async (rig) => {
    for (let at = 0; at < REQUESTS; at++) {
      const { status } = await rig.call({ id: `q${at}` });
      assert.ok(status === 200 || status === 503, String(status));
    }
    const retries = retriesOf(rig, new Set(rejectingReplicas.keys()));
    assert.ok(retries > 0 && retries <= MAX_RETRIES, String(retries));
  });
});

test("an accepted prefill is not charged to the retry budget", async () => {
  await withRig({
    engine: ENGINE,
    budget: { ratio: 0, extra: 0 },
    replicas: [prefillReplica(prefills), DECODE_REPLICA],
  }, async (rig) => {
    for (let at = 0; at < REQUESTS; at++) {
      const { status } = await rig.call({ id: `q${at}` });
      assert.equal(status, 200);
    }
    assert.equal(rig.replicas[0]?.requests.length, REQUESTS);
    assert.equal(retriesOf(rig, new Set()), 0);
  });
});
