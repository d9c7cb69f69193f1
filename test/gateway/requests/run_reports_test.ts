/**
 * What a host reports of its runs to the planner. Guards against relayed bytes
 * that change with the measurement, and against reports while it is off.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { PlannerClient } from "../../../src/gateway/planning/planner_client.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import {
  chunk,
  chunkedHeaders,
  completeResponse,
  type RawAnswer,
} from "../raw_replica.ts";
import { ENGINE, type Rig, withRig } from "../rig.ts";
import { TEST_TUNING } from "../test_tuning.ts";
import { answersEngineCalls, healthy } from "./notice_rig.ts";

/** The third event arrives in two parts; the last one is incomplete. */
const PARTS = ["id: 1\r\n\r\nid: 2\n\n", "id: 3\nda", "ta: x\n\n", "id: 4\n"];

const streams: RawAnswer = answersEngineCalls((request, socket) => {
  socket.write(chunkedHeaders(request));
  PARTS.forEach((part, index) =>
    setTimeout(() => {
      socket.write(chunk(part));
      if (index === PARTS.length - 1) socket.write(chunk(""));
    }, 20 * index)
  );
});

const fails: RawAnswer = (request, socket) => {
  const text = completeResponse(request, "x");
  socket.write(text.replace("200 OK", "500 Failed"));
};

function switchOn({ context }: Rig): void {
  const scheduling = { ...NO_SCHEDULING, replicaRates: true };
  context.tuning = { ...TEST_TUNING, scheduling };
}

/** Records the calls of the planner client's methods. */
function spy(t: TestContext) {
  const { prototype } = PlannerClient;
  const started = t.mock.method(prototype, "started");
  const answered = t.mock.method(prototype, "answered");
  const failed = t.mock.method(prototype, "failed");
  return {
    started: () => started.mock.calls.map((call) => call.arguments[1]),
    answered: () => answered.mock.calls.map((call) => call.arguments[1] ?? {}),
    failures: () => failed.mock.callCount(),
  };
}

const STREAM = {
  engine: ENGINE,
  replicas: [{ answer: streams, stage: ReplicaStage.decode }],
};

for (const resumable of [false, true]) {
  const route = { kind: "streaming", resumable } as const;

  test(`a relayed stream is unchanged and counted; resumable: ${resumable}`, async (t) => {
    const calls = spy(t);
    await withRig({ ...STREAM, route }, async (rig) => {
      switchOn(rig);
      const { body, complete } = await rig.call();
      assert.equal(complete, true);
      assert.equal(body, PARTS.join(""));
      const [firstEventMs] = calls.started();
      assert.ok(firstEventMs !== undefined && firstEventMs >= 0);
      const [run] = calls.answered();
      assert.equal(run?.events, 1);
      assert.ok(run.runMs !== undefined && run.runMs > 0);
    });
  });
}

test("with the setting off, nothing of a stream is reported", async (t) => {
  const calls = spy(t);
  const route = { kind: "streaming" } as const;
  await withRig({ ...STREAM, route }, async (rig) => {
    const { body } = await rig.call();
    assert.equal(body, PARTS.join(""));
    assert.deepEqual(calls.started(), []);
    assert.deepEqual(calls.answered(), [{}]);
  });
});

test("a plain call reports its duration", async (t) => {
  const calls = spy(t);
  await withRig({ replicas: [{ answer: healthy }] }, async (rig) => {
    switchOn(rig);
    await rig.call();
    const [run] = calls.answered();
    assert.ok(run?.runMs !== undefined && run.runMs > 0);
    assert.equal(run.events, undefined);
  });
});

test("a response of a failing replica is reported as a failure", async (t) => {
  const calls = spy(t);
  const route = { kind: "unsafe" } as const;
  await withRig({ route, replicas: [{ answer: fails }] }, async (rig) => {
    switchOn(rig);
    assert.equal((await rig.call()).status, 500);
    assert.equal(calls.failures(), 1);
  });
});
