/** Planning for replicas with a rate limit. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestPacer } from "../../../src/gateway/planning/request_pacer.ts";
import {
  AssignmentStage,
  type PlannerMessage,
  type PlanRequest,
} from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { RateShare } from "../../../src/gateway/planning/rate_share.ts";
import type { PlannerView } from "../../../src/gateway/planning/view.ts";
import { replicaEntry } from "../replica_entry.ts";
import { messages, planRequest, view } from "./planner_rig.ts";

const PLAIN = { tokens: 1, promptTokens: 0, longestRetryMs: 20_000 };

type LimitsByReplica = Readonly<Record<string, number>>;

/** Plain replicas "a", "b" and "c", some with limits. */
function plainView(limits: LimitsByReplica): PlannerView {
  return view({
    replicasOf: () => ["a", "b", "c"].map((id) => replicaEntry(id)),
    memoryOf: () => 0,
    limitOf: (incarnation) => limits[incarnation],
  });
}

function plainRequest(
  id: string,
  overrides: Partial<PlanRequest> = {},
): PlanRequest {
  return planRequest(id, { ...PLAIN, ...overrides });
}

function decodesOf(answers: readonly PlannerMessage[]): string[] {
  return answers.flatMap((message) =>
    message.type === "grant" ? [message.decode] : []
  );
}

function isRefused(
  message: PlannerMessage | undefined,
): message is Extract<PlannerMessage, { type: "refusal" }> {
  return message?.type === "refusal";
}

/** Enqueues requests one by one; granted requests end at once. */
function simulate(
  planner: Planner,
  { spanMs, intervalMs, priorityOf }: {
    readonly spanMs: number;
    readonly intervalMs: number;
    readonly priorityOf: (index: number) => number;
  },
): { readonly granted: PlanRequest[]; readonly refused: number[] } {
  const granted: PlanRequest[] = [];
  const refused: number[] = [];
  for (let index = 0; index * intervalMs < spanMs; index++) {
    const now = index * intervalMs;
    const request = plainRequest(`r${index}`, { priority: priorityOf(index) });
    planner.enqueue("h", request, now);
    for (const message of messages(planner, now)) {
      if (isRefused(message)) refused.push(now + (message.retryAfterMs ?? 0));
      if (message.type !== "grant") continue;
      granted.push(request);
      const stage = AssignmentStage.answered;
      planner.report({ type: "progress", id: message.id, stage }, now);
    }
  }
  return { granted, refused };
}

test("paces a limited replica and gives the other requests to the others", () => {
  const planner = new Planner(plainView({ a: 1 }));
  for (let index = 0; index < 12; index++) {
    planner.enqueue("h", plainRequest(`r${index}`), 0);
  }
  const decodes = decodesOf(messages(planner, 0));
  assert.equal(decodes.length, 12);
  assert.equal(decodes.filter((decode) => decode === "a").length, 2);
});

test("gives a replica no request until the limit that refused has room", () => {
  const planner = new Planner(plainView({ a: 1, b: 1, c: 1 }));
  planner.enqueue("h", plainRequest("first"), 0);
  const [first] = decodesOf(messages(planner, 0));
  const refused = {
    type: "progress" as const,
    id: "first",
    stage: AssignmentStage.refused,
    retryAfterMs: 700,
  };
  planner.report(refused, 10);
  for (let index = 0; index < 9; index++) {
    planner.enqueue("h", plainRequest(`r${index}`), 20);
  }
  const second = messages(planner, 20);
  assert.ok(!decodesOf(second).includes(first ?? ""));
  planner.enqueue("h", plainRequest("late"), 720);
  assert.equal(decodesOf(messages(planner, 720)).length, 1);
});

test("refuses at once what exceeds the rate of limited replicas, with retry times one after the other", () => {
  const limits = { a: 1, b: 1, c: 1 };
  const { granted, refused } = simulate(new Planner(plainView(limits)), {
    spanMs: 10_000,
    intervalMs: 100,
    priorityOf: () => 1,
  });
  // The owners of the limits enforce the rate; the planner's pace is twice
  // that.
  assert.ok(granted.length >= 30 && granted.length <= 70);
  assert.equal(granted.length + refused.length, 100);
  const gaps = refused.slice(1).map((retryAt, index) =>
    retryAt - (refused[index] ?? 0)
  );
  assert.ok(gaps.every((gap) => gap >= 1000 / 3 - 1e-6));
});

test("marks a refusal that is due to the limits", () => {
  const planner = new Planner(plainView({ a: 0, b: 0, c: 0 }));
  for (let index = 0; index < 7; index++) {
    planner.enqueue("h", plainRequest(`r${index}`), 0);
  }
  const refused = messages(planner, 0).filter(isRefused);
  assert.equal(refused.length, 1);
  const [refusal] = refused;
  assert.equal(refusal?.reason, "busy");
  assert.equal(refusal?.basis.isLimited, true);
  assert.ok((refusal?.retryAfterMs ?? 0) > 0);
});

test("grants more urgent requests first when the rate is exceeded", () => {
  const limits = { a: 0.5, b: 0.5, c: 0.5 };
  const planner = new Planner(plainView(limits));
  // One of ten requests per second is urgent.
  const { granted } = simulate(planner, {
    spanMs: 30_000,
    intervalMs: 100,
    priorityOf: (index) => index % 10 === 0 ? 0 : 2,
  });
  const urgent = granted.filter((request) => request.priority === 0).length;
  assert.ok(urgent >= 28, `${urgent} of 30 urgent requests`);
  assert.ok(granted.length > urgent, "the less urgent requests get the rest");
});

test("leaves the rate that more urgent requests don't use to less urgent ones", () => {
  const share = new RateShare(() => 0);
  assert.ok(share.mayGrant(2, 1, 0));
  for (let index = 0; index < 40; index++) share.noteRequest(0, index * 100);
  assert.ok(share.mayGrant(0, 1, 4000));
  // A tenth of the rate is left to them.
  assert.ok(share.mayGrant(2, 1, 4000));
  share.noteGrant(2, 4000);
  assert.ok(!share.mayGrant(2, 1, 4000));
  assert.ok(share.mayGrant(2, 100, 4000));
});

test("spreads the retry times of callers that accept only short delays", () => {
  const share = new RateShare(() => 0.5);
  const delays = Array.from(
    { length: 20 },
    () =>
      share.retryAfterMs(
        { perSecond: 1, minWaitMs: 0, longestRetryMs: 3000 },
        0,
      ),
  );
  assert.ok(delays.every((delay) => delay <= 3000));
  assert.equal(new Set(delays.slice(0, 3)).size, 3);
});

test("applies a refusal only briefly when the limit has ended or isn't known yet", () => {
  let limit: number | undefined = 1;
  const pacer = new RequestPacer(() => limit);
  pacer.noteFull("a", { retryAfterMs: 10_000 }, 0);
  assert.equal(pacer.waitMs("a", 0), 10_000);
  limit = undefined;
  assert.equal(pacer.waitMs("a", 0), 500);
  assert.equal(pacer.waitMs("a", 500), 0);
});

/** Two decode replicas and one prefill replica, some with limits. */
function engineView(
  limits: LimitsByReplica,
  failures: string[] = [],
): PlannerView {
  return view({
    limitOf: (incarnation) => limits[incarnation],
    noteFailure: (incarnation) => void failures.push(incarnation),
  });
}

test("paces a limited decode replica while the other replica has room", () => {
  const planner = new Planner(engineView({ d1: 0.5 }));
  for (let index = 0; index < 6; index++) {
    planner.enqueue(
      "h",
      planRequest(`r${index}`, { tokens: 100, promptTokens: 1 }),
      0,
    );
  }
  const decodes = decodesOf(messages(planner, 0));
  assert.equal(decodes.filter((decode) => decode === "d1").length, 2);
  assert.equal(decodes.filter((decode) => decode === "d2").length, 4);
});

test("refuses requests at once that can't start in time when all decode replicas are limited", () => {
  const planner = new Planner(engineView({ d1: 0.2, d2: 0.2 }));
  for (let index = 0; index < 12; index++) {
    planner.enqueue(
      "h",
      planRequest(`r${index}`, { tokens: 10, promptTokens: 1 }),
      0,
    );
  }
  const answers = messages(planner, 0);
  const refused = answers.filter(isRefused);
  assert.equal(decodesOf(answers).length, 4);
  // At 0.4 per second, one more can start within the callers' 3 s.
  assert.equal(refused.length, 7);
  assert.ok(refused.every((refusal) => refusal.basis.isLimited === true));
  assert.equal(planner.waiting, 1);
});

test("queues prefills for a limited replica, then falls back to local prefill", () => {
  const failures: string[] = [];
  const planner = new Planner(engineView({ p1: 0.2 }, failures));
  for (const id of ["a", "b", "c"]) {
    planner.enqueue("h", planRequest(id, { tokens: 10, promptTokens: 1 }), 0);
  }
  const [a, b, ...others] = messages(planner, 0);
  assert.deepEqual(
    [a, b].map((message) => message?.type === "grant" && message.prefill),
    ["p1", "p1"],
  );
  assert.equal(others.length, 0);
  const stage = AssignmentStage.prefillLimited;
  const progress = { type: "progress" as const, id: "b", stage };
  planner.report({ ...progress, retryAfterMs: 9000 }, 10);
  const [c] = messages(planner, 300);
  assert.ok(c?.type === "grant" && c.prefill === undefined);
  assert.deepEqual(failures, []);
});

test("counts a replica whose limit is used up as busy", () => {
  const planner = new Planner(engineView({ d1: 1, d2: 1 }));
  const before = planner.loadOf("s", 0);
  for (let index = 0; index < 4; index++) {
    planner.enqueue(
      "h",
      planRequest(`r${index}`, { tokens: 1, promptTokens: 1 }),
      0,
    );
  }
  messages(planner, 0);
  assert.ok(before.decode < 0.1);
  assert.equal(planner.loadOf("s", 0).decode, 1);
});

test("refuses a resumed stream at once when the limit has no room before its caller times out", () => {
  const planner = new Planner(engineView({ d1: 0.2 }));
  const resumed = { begun: true, excluded: ["d2"], tokens: 10 };
  planner.enqueue("h", planRequest("first", resumed), 0);
  assert.deepEqual(decodesOf(messages(planner, 0)), ["d1"]);
  const stage = AssignmentStage.refused;
  const progress = { type: "progress" as const, id: "first", stage };
  planner.report({ ...progress, retryAfterMs: 5000 }, 10);
  planner.enqueue(
    "h",
    planRequest("again", { ...resumed, patienceMs: 6000 }),
    20,
  );
  assert.deepEqual(messages(planner, 20), []);
  planner.enqueue(
    "h",
    planRequest("short", { ...resumed, patienceMs: 3000 }),
    20,
  );
  const [refused] = messages(planner, 20);
  assert.ok(isRefused(refused) && refused.id === "short");
});
