/** Requests to model engines that request a backoff. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
  type RawRequest,
} from "../raw_replica.ts";
import { ENGINE, withRig } from "../rig.ts";
import {
  answersEngineCalls,
  assertBacksOff,
  BUDGET,
  healthy,
  LONG_BACKOFF_MS,
  rejectsWithBackoff,
  requestsAt,
  statuses,
} from "./notice_rig.ts";

const STREAM = { "x-tokens": "10,10" };

test("a stream is not resumed at a replica that backs off", async () => {
  const interrupts: RawAnswer = answersEngineCalls((request, socket) => {
    socket.end(chunkedHeaders(request) + chunk("id: 0\n\n"));
  });
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      {
        answer: answersEngineCalls(rejectsWithBackoff(LONG_BACKOFF_MS)),
        stage: ReplicaStage.decode,
      },
      { answer: interrupts, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    await statuses(rig, 6, { ...STREAM, "x-patience": "1500" });
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("a prefill replica that backs off gets no further prefill", async () => {
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming" },
    replicas: [
      { answer: healthy, stage: ReplicaStage.decode },
      {
        answer: rejectsWithBackoff(LONG_BACKOFF_MS),
        stage: ReplicaStage.prefill,
      },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    assert.equal(requestsAt(rig, 1), 1);
    assertBacksOff(rig, "r1");
  });
});

test("a replica that refuses a reservation and backs off gets no further reservation", async () => {
  const isReserve = ({ path }: RawRequest) => path.startsWith("/reserve");
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      {
        answer: rejectsWithBackoff(LONG_BACKOFF_MS),
        stage: ReplicaStage.decode,
      },
      { answer: healthy, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    const reservations = rig.replicas[0]?.requests.filter(isReserve) ?? [];
    assert.equal(reservations.length, 1);
    assert.equal(requestsAt(rig, 0), 0);
    assertBacksOff(rig, "r0");
  });
});

test("a model service whose replicas all back off refuses at once", async () => {
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: rejectsWithBackoff(9000), stage: ReplicaStage.decode },
      { answer: healthy, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    assert.deepEqual(await statuses(rig, 3, STREAM), [503, 503, 503]);
    const refused = rig.events.filter((event) => event.name === "refused");
    for (const { fields } of refused) {
      assert.equal("error" in fields && fields.error, "backing_off");
    }
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});

test("a request that waits for memory uses a replica whose backoff ends", async () => {
  let isBusy = true;
  const backsOffOnce: RawAnswer = (request, socket) => {
    if (!isBusy) return healthy(request, socket);
    isBusy = false;
    rejectsWithBackoff(200)(request, socket);
  };
  const full: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, "{}").replace("200 OK", "503 Full"));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: backsOffOnce, stage: ReplicaStage.decode },
      { answer: full, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(await statuses(rig, 1, STREAM), [200]);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("a started stream waits for the end of a short backoff", async () => {
  let count = 0;
  const breaksOnce: RawAnswer = (request, socket) => {
    count += 1;
    if (count === 1) socket.end(chunkedHeaders(request) + chunk("id: 0\n\n"));
    else if (count === 2) rejectsWithBackoff(200)(request, socket);
    else socket.write(completeResponse(request, "id: 1\n\n"));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [{
      answer: answersEngineCalls(breaksOnce),
      stage: ReplicaStage.decode,
    }],
  }, async (rig) => {
    const response = await rig.call({
      id: "s",
      method: "POST",
      headers: STREAM,
    });
    assert.ok(response.complete);
    assert.equal(response.body, "id: 0\n\nid: 1\n\n");
    assert.equal(requestsAt(rig, 0), 3);
  });
});

test("a waiting request tries again when the trial of a replica ends", async () => {
  // The replica on trial never responds; the other has no memory.
  const hangs: RawAnswer = (request, socket) => {
    if (request.number === 1) return rejectsWithBackoff(1)(request, socket);
    if (request.number !== 3) healthy(request, socket);
  };
  const full: RawAnswer = (request, socket) => {
    socket.write(completeResponse(request, "{}").replace("200 OK", "503 Full"));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: hangs, stage: ReplicaStage.decode },
      { answer: full, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    void rig.call({ id: "hangs", method: "POST", headers: STREAM })
      .catch(() => undefined);
    await rig.waitForRequests(3);
    const next = { id: "next", method: "POST", headers: STREAM };
    assert.equal((await rig.call(next)).status, 200);
  });
});
