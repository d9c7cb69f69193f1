/**
 * Guards against a second copy of a response that is taken for the response to
 * a later request: a request ran at two replicas.
 */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { ReplicaStage, RouteKind } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";
import { answersEngineCalls, isHostCall } from "./notice_rig.ts";

const RUN_MS = 150;
const BUDGET = { ratio: 0, extra: 1000 };

function refusal(id: string | undefined): string {
  return [
    "HTTP/1.1 503 Service Unavailable",
    "x-not-run: 1",
    ...(id === undefined ? [] : [`x-id: ${id}`]),
    "content-length: 0",
    "",
    "",
  ].join("\r\n");
}

const streams: RawAnswer = (request, socket) => {
  setTimeout(
    () =>
      socket.write(chunkedHeaders(request) + chunk("id: 1\n\n") + chunk("")),
    RUN_MS,
  );
};

/**
 * Refuses requests with an export and runs the others. While it runs one that it
 * has refused, it sends the refusal again.
 */
function refusesExports(): RawAnswer {
  const refused = new Map<string, Socket>();
  return answersEngineCalls((request, socket) => {
    const id = request.headers.get("x-id") ?? "";
    if (request.headers.has("x-export")) {
      refused.set(id, socket);
      return void socket.write(refusal(id));
    }
    refused.get(id)?.write(refusal(id));
    streams(request, socket);
  });
}

const prefills: RawAnswer = answersEngineCalls((request, socket) => {
  socket.write(completeResponse(request, '{"export":"e"}'));
});

/** Whether a replica worked on a request. */
const isRun = (request: RawRequest) =>
  !isHostCall(request) && !request.headers.has("x-export");

/** Number of runs of each request at all decode replicas. */
function countRuns({ replicas }: Rig): Map<string, number> {
  const runs = new Map<string, number>();
  for (const { requests } of replicas.slice(1)) {
    for (const request of requests.filter(isRun)) {
      const id = request.headers.get("x-id") ?? "";
      runs.set(id, (runs.get(id) ?? 0) + 1);
    }
  }
  return runs;
}

test("the second copy of a refusal is not taken for the response to the next send of its request", async () => {
  const decode = () => ({
    answer: refusesExports(),
    stage: ReplicaStage.decode,
  });
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: RouteKind.streaming, attempts: 1 },
    replicas: [
      { answer: prefills, stage: ReplicaStage.prefill },
      decode(),
      decode(),
    ],
  }, async (rig) => {
    for (let count = 1; count <= 5; count++) {
      const id = `request-${count}`;
      const headers = { "x-tokens": "10,10" };
      const { status } = await rig.call({ id, headers });
      assert.equal(status, 200);
      assert.equal(countRuns(rig).get(id), 1, id);
    }
  });
});

test("a refusal without an id is proof of nothing on a connection that carried another request", async () => {
  // What comes after the second request may belong to the first one.
  const answersTwice: RawAnswer = (request, socket) => {
    const text = request.number === 1
      ? completeResponse(request, "first")
      : refusal(undefined);
    socket.write(text);
  };
  const healthy: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, "other"));
  };
  await withRig({
    budget: BUDGET,
    route: { kind: RouteKind.unsafe, attempts: 2 },
    replicas: [{ answer: answersTwice }],
  }, async (rig) => {
    assert.equal((await rig.call({ id: "1" })).status, 200);
    assert.equal((await rig.call({ id: "2" })).status, 502);
  });
  // On a new connection it can only belong to the request.
  const refuses: RawAnswer = (_, socket) => void socket.end(refusal(undefined));
  await withRig({
    budget: BUDGET,
    route: { kind: RouteKind.unsafe, attempts: 2 },
    replicas: [{ answer: refuses }, { answer: healthy }],
  }, async (rig) => {
    for (let count = 1; count <= 4; count++) {
      assert.equal((await rig.call({ id: `${count}` })).status, 200);
    }
  });
});
