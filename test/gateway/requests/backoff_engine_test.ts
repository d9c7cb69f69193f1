/** Requests to model engines that ask for a pause, by every way that leads there. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  chunk,
  chunkedHead,
  type RawAnswer,
  type RawRequest,
  whole,
} from "../raw_replica.ts";
import { ENGINE, withRig } from "../rig.ts";
import {
  BUDGET,
  checkAlone,
  engine,
  LONG_MS,
  requestsAt,
  sound,
  statuses,
  turnsAway,
} from "./notice_rig.ts";

const STREAM = { "x-tokens": "10,10" };

test("a stream doesn't go on at a replica in a pause", async () => {
  const cuts: RawAnswer = engine((request, socket) => {
    socket.end(chunkedHead(request) + chunk("id: 0\n\n"));
  });
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [
      { answer: engine(turnsAway(LONG_MS)), stage: ReplicaStage.decode },
      { answer: cuts, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    await statuses(rig, 6, { ...STREAM, "x-patience": "1500" });
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("prompts aren't read at a replica in a pause", async () => {
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming" },
    replicas: [
      { answer: sound, stage: ReplicaStage.decode },
      { answer: turnsAway(LONG_MS), stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    assert.equal(requestsAt(rig, 1), 1);
    checkAlone(rig, "r1");
  });
});

test("a replica that has no memory and asks for a pause isn't asked again", async () => {
  const isReserve = ({ path }: RawRequest) => path.startsWith("/reserve");
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: turnsAway(LONG_MS), stage: ReplicaStage.decode },
      { answer: sound, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(new Set(await statuses(rig, 6, STREAM)), new Set([200]));
    const asked = rig.replicas[0]?.requests.filter(isReserve) ?? [];
    assert.equal(asked.length, 1);
    assert.equal(requestsAt(rig, 0), 0);
    checkAlone(rig, "r0");
  });
});

test("a model service whose replicas all ask for a pause refuses at once", async () => {
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: turnsAway(9000), stage: ReplicaStage.decode },
      { answer: sound, stage: ReplicaStage.prefill },
    ],
  }, async (rig) => {
    assert.deepEqual(await statuses(rig, 3, STREAM), [503, 503, 503]);
    const refused = rig.events.filter((one) => one.name === "refused");
    for (const { fields } of refused) {
      assert.equal("error" in fields && fields.error, "backing_off");
    }
    assert.equal(rig.replicas[0]?.requests.length, 1);
  });
});

test("a request that waits for memory takes the replica whose pause ends", async () => {
  let isBusy = true;
  const pauses: RawAnswer = (request, socket) => {
    if (!isBusy) return sound(request, socket);
    isBusy = false;
    turnsAway(200)(request, socket);
  };
  const full: RawAnswer = (request, socket) => {
    socket.write(whole(request, "{}").replace("200 OK", "503 Full"));
  };
  await withRig({
    engine: ENGINE,
    route: { kind: "streaming" },
    replicas: [
      { answer: pauses, stage: ReplicaStage.decode },
      { answer: full, stage: ReplicaStage.decode },
    ],
  }, async (rig) => {
    assert.deepEqual(await statuses(rig, 1, STREAM), [200]);
    assert.equal(requestsAt(rig, 0), 1);
  });
});

test("a stream that has begun waits for the end of a short pause", async () => {
  let count = 0;
  const breaksOnce: RawAnswer = (request, socket) => {
    count += 1;
    if (count === 1) socket.end(chunkedHead(request) + chunk("id: 0\n\n"));
    else if (count === 2) turnsAway(200)(request, socket);
    else socket.write(whole(request, "id: 1\n\n"));
  };
  await withRig({
    engine: ENGINE,
    budget: BUDGET,
    route: { kind: "streaming", resumable: true, attempts: 4 },
    replicas: [{ answer: engine(breaksOnce), stage: ReplicaStage.decode }],
  }, async (rig) => {
    const seen = await rig.call({ id: "s", method: "POST", headers: STREAM });
    assert.ok(seen.complete);
    assert.equal(seen.body, "id: 0\n\nid: 1\n\n");
    assert.equal(requestsAt(rig, 0), 3);
  });
});

test("a request asks anew when the trial of a replica is over", async () => {
  // The replica that was tried never answers; the other has no memory.
  const hangs: RawAnswer = (request, socket) => {
    if (request.number === 1) return turnsAway(1)(request, socket);
    if (request.number !== 3) sound(request, socket);
  };
  const full: RawAnswer = (request, socket) => {
    socket.write(whole(request, "{}").replace("200 OK", "503 Full"));
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
    await rig.arrived(3);
    const next = { id: "next", method: "POST", headers: STREAM };
    assert.equal((await rig.call(next)).status, 200);
  });
});
