/**
 * Second attempts through the gateway, with replicas that stall. Guards against
 * calls that run twice though they must not, two responses, and losers that go
 * on running.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { CallTimes } from "../../../src/gateway/planning/call_times.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { completeResponse, type RawAnswer } from "../raw_replica.ts";
import {
  type CallOptions,
  type Rig,
  type RigOptions,
  withRig,
} from "../rig.ts";
import { TEST_TUNING } from "../test_tuning.ts";
import { BUDGET, healthy, requestsAt } from "./notice_rig.ts";

/** What the planner takes for the time within which most calls end. */
const LATE_MS = 100;

const isStalling = (path: string) => path.includes("stall");

/** Answers all but the calls to be stalled, of which it notes the end. */
function stalls(closed: string[], then?: RawAnswer): RawAnswer {
  return (request, socket) => {
    if (!isStalling(request.path)) return healthy(request, socket);
    socket.on("close", () => closed.push(request.path));
    if (then) then(request, socket);
  };
}

const overloaded: RawAnswer = (request, socket) => {
  if (!isStalling(request.path)) return healthy(request, socket);
  const text = completeResponse(request, "", ["x-not-run: 1"]);
  socket.write(text.replace("200 OK", "503 Full"));
};

/** A rig whose planner knows how long calls take. */
async function withPlannedRig(
  t: TestContext,
  options: Partial<RigOptions> & Pick<RigOptions, "replicas">,
  work: (rig: Rig) => Promise<void>,
  isOn = true,
): Promise<void> {
  t.mock.method(CallTimes.prototype, "lateMs", () => LATE_MS);
  await withRig({ budget: BUDGET, ...options }, async (rig) => {
    const scheduling = {
      ...NO_SCHEDULING,
      replicaRates: true,
      secondAttempts: isOn,
    };
    rig.context.tuning = { ...TEST_TUNING, scheduling };
    await work(rig);
  });
}

const secondAttempts = (rig: Rig) =>
  rig.context.metrics.counterValue("second_attempts");
const stalled = (options: CallOptions = {}) => ({
  path: "/a/stall",
  ...options,
});

const sends = (rig: Rig) => requestsAt(rig, 0) + requestsAt(rig, 1);

test("a safe call whose replica stalls is answered by the other, and ended there", async (t) => {
  const closed: string[] = [];
  const replicas = [{ answer: stalls(closed) }, { answer: healthy }];
  await withPlannedRig(t, { replicas }, async (rig) => {
    const { metrics, replicas: table } = rig.context;
    let answered = 0;
    while (metrics.counterValue("second_attempts_won") === 0) {
      const { status, body } = await rig.call(stalled());
      assert.deepEqual([status, body], [200, "answer"]);
      answered += 1;
    }
    assert.equal(sends(rig), answered + secondAttempts(rig));
    assert.ok(rig.events.some(({ name }) => name === "secondAttempt"));
    assert.equal(table.get("r0")?.failures, 0);
    while (closed.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  });
});

test("a call that must run once is never sent twice", async (t) => {
  const closed: string[] = [];
  const answer = stalls(closed);
  const replicas = [{ answer }, { answer }];
  const route = { kind: "unsafe", timeoutMs: 4 * LATE_MS } as const;
  await withPlannedRig(t, { route, replicas }, async (rig) => {
    const { status } = await rig.call(stalled());
    assert.ok(status >= 500);
    assert.equal(sends(rig), 1);
    assert.equal(secondAttempts(rig), 0);
  });
});

test("with the setting off there is no second attempt", async (t) => {
  const answer = stalls([]);
  const replicas = [{ answer }, { answer }];
  const route = { timeoutMs: 4 * LATE_MS };
  await withPlannedRig(t, { route, replicas }, async (rig) => {
    await rig.call(stalled());
    assert.equal(sends(rig), 1);
  }, false);
});

test("a route with one attempt gets no second one", async (t) => {
  const answer = stalls([]);
  const replicas = [{ answer }, { answer }];
  const route = { timeoutMs: 4 * LATE_MS, attempts: 1 };
  await withPlannedRig(t, { route, replicas }, async (rig) => {
    await rig.call(stalled());
    assert.equal(sends(rig), 1);
  });
});

test("without a retry budget there is no second attempt", async (t) => {
  const answer = stalls([]);
  const replicas = [{ answer }, { answer }];
  const route = { timeoutMs: 4 * LATE_MS };
  const budget = { ratio: 0, extra: 0 };
  await withPlannedRig(t, { route, replicas, budget }, async (rig) => {
    await rig.call(stalled());
    assert.equal(sends(rig), 1);
    const { metrics } = rig.context;
    assert.equal(metrics.counterValue("second_attempts_denied"), 1);
  });
});

test("a second attempt that did not run leaves it open whether the first did", async (t) => {
  const replicas = [
    {
      answer: stalls(
        [],
        (_, socket) => setTimeout(() => socket.destroy(), 3 * LATE_MS),
      ),
    },
    { answer: overloaded },
  ];
  const route = { attempts: 2 };
  await withPlannedRig(t, { route, replicas }, async (rig) => {
    for (let index = 0; index < 4; index++) {
      const before = requestsAt(rig, 0);
      const { status } = await rig.call(stalled());
      if (requestsAt(rig, 0) === before) continue;
      assert.equal(status, 502);
    }
    assert.ok(secondAttempts(rig) > 0);
  });
});

test("a caller that disconnects ends both attempts", async (t) => {
  const closed: string[] = [];
  const answer = stalls(closed);
  const replicas = [{ answer }, { answer }];
  await withPlannedRig(t, { replicas }, async (rig) => {
    const call = rig.call(stalled()).catch(() => undefined);
    await rig.waitForRequests(2);
    rig.disconnectCaller();
    await call;
    while (closed.length < 2) {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  });
});
