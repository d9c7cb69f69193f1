/**
 * Two sends of one request. Guards against two responses, losers that go on,
 * and a failure of one send that ends the request while the other goes on.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { AttemptRace } from "../../../src/gateway/requests/attempt_race.ts";
import type { LaneAttempt } from "../../../src/gateway/requests/second_attempt.ts";
import type { SendResult } from "../../../src/gateway/requests/sender.ts";

const FAILED = { type: "unknown", reason: "reset", isLocal: false } as const;

type Response = SendResult & { type: "answer" };

/** A response that notes that it is thrown away. */
function response(statusCode: number, destroyed: string[] = []): Response {
  const message = {
    statusCode,
    destroy: () => void destroyed.push("destroyed"),
  };
  return { type: "answer", answer: { message } } as unknown as Response;
}

/** A send whose result the test decides, with what was done to it. */
function attempt(name: string, log: string[]) {
  let settle: (result: SendResult) => void = () => undefined;
  const result = new Promise<SendResult>((resolve) => settle = resolve);
  const sent = {
    sending: {
      result,
      abort: (reason: string) => void log.push(`${name} aborted: ${reason}`),
    },
    meter: { overtaken: () => void log.push(`${name} overtaken`) },
    placer: { end: () => void log.push(`${name} placer ended`) },
  };
  return { sent: sent as unknown as LaneAttempt, settle };
}

/** A race with both sends, and its timer. */
function race() {
  const log: string[] = [];
  const first = attempt("first", log);
  const second = attempt("second", log);
  let fire: () => void = () => undefined;
  let place: (sent: LaneAttempt | undefined) => void = () => undefined;
  const subject = new AttemptRace<LaneAttempt>({
    clock: {
      after: (_, call) => {
        fire = call;
        return () => void log.push("timer cancelled");
      },
    },
    first: first.sent,
    secondAfterMs: 10,
    startSecond: () => ({
      attempt: new Promise((resolve) => place = resolve),
      cancel: () => void log.push("placement cancelled"),
    }),
    onFailed: ({ attempt: failed }) =>
      void log.push(failed === first.sent ? "first failed" : "second failed"),
  });
  return {
    subject,
    log,
    first,
    second,
    fire: () => fire(),
    place: async (sent: LaneAttempt | undefined) => {
      place(sent);
      await turns();
    },
  };
}

/** Lets all promises that are settled take effect. */
async function turns(): Promise<void> {
  await new Promise((resolve) => setImmediate(resolve));
}

test("a first response in time: there is no second send", async () => {
  const { subject, log, first } = race();
  const ok = response(200);
  first.settle(ok);
  const outcome = await subject.outcome;
  assert.equal(outcome.attempt, first.sent);
  assert.equal(outcome.result, ok);
  assert.deepEqual(log, ["timer cancelled"]);
});

test("the second response first: the first send is aborted, its response dropped", async () => {
  const { subject, log, first, second, fire, place } = race();
  fire();
  await place(second.sent);
  second.settle(response(200));
  const outcome = await subject.outcome;
  assert.equal(outcome.attempt, second.sent);
  assert.deepEqual(log.slice(-3), [
    "first overtaken",
    "first placer ended",
    "first aborted: Another attempt was faster",
  ]);
  const destroyed: string[] = [];
  first.settle(response(200, destroyed));
  await turns();
  assert.equal(destroyed.length, 1);
});

test("the first response while the second send is placed: it is not sent", async () => {
  const { subject, log, first, second, fire, place } = race();
  fire();
  first.settle(response(200));
  assert.equal((await subject.outcome).attempt, first.sent);
  assert.ok(log.includes("placement cancelled"));
  await place(second.sent);
  assert.ok(log.includes("second aborted: Another attempt was faster"));
});

for (const failure of [FAILED, response(500)]) {
  test(`one send fails (${failure.type}): the other one decides`, async () => {
    const { subject, log, first, second, fire, place } = race();
    fire();
    await place(second.sent);
    first.settle(failure);
    await turns();
    assert.ok(log.includes("first failed"));
    const ok = response(200);
    second.settle(ok);
    assert.deepEqual(await subject.outcome, {
      attempt: second.sent,
      result: ok,
    });
    assert.ok(!log.some((line) => line.includes("aborted")));
  });
}

test("both fail: the last result decides", async () => {
  const { subject, first, second, fire, place } = race();
  fire();
  await place(second.sent);
  second.settle(FAILED);
  await turns();
  first.settle(FAILED);
  assert.equal((await subject.outcome).attempt, first.sent);
});

test("no second send is possible: the first one decides", async () => {
  const { subject, first, fire, place } = race();
  fire();
  await place(undefined);
  first.settle(FAILED);
  assert.equal((await subject.outcome).result, FAILED);
});

test("the request ends: both sends are aborted, their responses dropped", async () => {
  const { subject, log, second, fire, place } = race();
  fire();
  await place(second.sent);
  subject.abort("The request ended");
  await subject.outcome;
  assert.ok(log.includes("first aborted: The request ended"));
  assert.ok(log.includes("second aborted: The request ended"));
  assert.ok(log.includes("first placer ended"));
  assert.ok(log.includes("second placer ended"));
  const destroyed: string[] = [];
  second.settle(response(200, destroyed));
  await turns();
  assert.equal(destroyed.length, 1);
});
