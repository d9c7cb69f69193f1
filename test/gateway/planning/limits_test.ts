/** What a planner does about replicas that limit their requests. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LimitPace } from "../../../src/gateway/planning/limit_pace.ts";
import {
  PlaceStage,
  type PlanAsk,
  type PlannerMessage,
} from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { RateShare } from "../../../src/gateway/planning/rate_share.ts";
import type { PlannerView } from "../../../src/gateway/planning/view.ts";
import { replicaEntry } from "../replica_entry.ts";
import { ask, messages, view } from "./planner_rig.ts";

const PLAIN = { tokens: 1, promptTokens: 0, longestRetryMs: 20_000 };

type Limits = Readonly<Record<string, number>>;

/** Plain replicas "a", "b" and "c", some with limits. */
function plainView(limits: Limits): PlannerView {
  return view({
    replicasOf: () => ["a", "b", "c"].map((id) => replicaEntry(id)),
    memoryOf: () => 0,
    limitOf: (incarnation) => limits[incarnation],
  });
}

function plainAsk(id: string, change: Partial<PlanAsk> = {}): PlanAsk {
  return ask(id, { ...PLAIN, ...change });
}

function decodesOf(answers: readonly PlannerMessage[]): string[] {
  return answers.flatMap((one) => one.type === "grant" ? [one.decode] : []);
}

function isRefused(
  message: PlannerMessage | undefined,
): message is Extract<PlannerMessage, { type: "refusal" }> {
  return message?.type === "refusal";
}

/** Asks one by one, each of which ends at once. */
function play(
  planner: Planner,
  { spanMs, everyMs, priorityOf }: {
    readonly spanMs: number;
    readonly everyMs: number;
    readonly priorityOf: (at: number) => number;
  },
): { readonly granted: PlanAsk[]; readonly refused: number[] } {
  const granted: PlanAsk[] = [];
  const refused: number[] = [];
  for (let at = 0; at * everyMs < spanMs; at++) {
    const now = at * everyMs;
    const asked = plainAsk(`r${at}`, { priority: priorityOf(at) });
    planner.enqueue("h", asked, now);
    for (const one of messages(planner, now)) {
      if (isRefused(one)) refused.push(now + (one.retryAfterMs ?? 0));
      if (one.type !== "grant") continue;
      granted.push(asked);
      const stage = PlaceStage.answered;
      planner.report({ type: "progress", id: one.id, stage }, now);
    }
  }
  return { granted, refused };
}

test("a limited replica gets its pace, the others the rest", () => {
  const planner = new Planner(plainView({ a: 1 }));
  for (let at = 0; at < 12; at++) planner.enqueue("h", plainAsk(`r${at}`), 0);
  const given = decodesOf(messages(planner, 0));
  assert.equal(given.length, 12);
  assert.equal(given.filter((one) => one === "a").length, 2);
});

test("what an owner refused keeps the replica closed until it has room", () => {
  const planner = new Planner(plainView({ a: 1, b: 1, c: 1 }));
  planner.enqueue("h", plainAsk("first"), 0);
  const [first] = decodesOf(messages(planner, 0));
  const refused = {
    type: "progress" as const,
    id: "first",
    stage: PlaceStage.refused,
    retryAfterMs: 700,
  };
  planner.report(refused, 10);
  for (let at = 0; at < 9; at++) planner.enqueue("h", plainAsk(`r${at}`), 20);
  const second = messages(planner, 20);
  assert.ok(!decodesOf(second).includes(first ?? ""));
  planner.enqueue("h", plainAsk("late"), 720);
  assert.equal(decodesOf(messages(planner, 720)).length, 1);
});

test("where all replicas are limited the rest is told at once when to come back, one after the other", () => {
  const limits = { a: 1, b: 1, c: 1 };
  const { granted, refused } = play(new Planner(plainView(limits)), {
    spanMs: 10_000,
    everyMs: 100,
    priorityOf: () => 1,
  });
  // The owners of the limits hold the rate; the planner's pace is twice that.
  assert.ok(granted.length >= 30 && granted.length <= 70);
  assert.equal(granted.length + refused.length, 100);
  const gaps = refused.slice(1).map((at, index) => at - (refused[index] ?? 0));
  assert.ok(gaps.every((gap) => gap >= 1000 / 3 - 1e-6));
});

test("a refusal says that it is for the limits", () => {
  const planner = new Planner(plainView({ a: 0, b: 0, c: 0 }));
  for (let at = 0; at < 7; at++) planner.enqueue("h", plainAsk(`r${at}`), 0);
  const refused = messages(planner, 0).filter(isRefused);
  assert.equal(refused.length, 1);
  const [one] = refused;
  assert.equal(one?.reason, "busy");
  assert.equal(one?.basis.isLimited, true);
  assert.ok((one?.retryAfterMs ?? 0) > 0);
});

test("the more urgent go first where the rate is not enough for all", () => {
  const limits = { a: 0.5, b: 0.5, c: 0.5 };
  const planner = new Planner(plainView(limits));
  // Of ten requests a second one is urgent.
  const { granted } = play(planner, {
    spanMs: 30_000,
    everyMs: 100,
    priorityOf: (at) => at % 10 === 0 ? 0 : 2,
  });
  const urgent = granted.filter((one) => one.priority === 0).length;
  assert.ok(urgent >= 28, `${urgent} of 30 urgent requests`);
  assert.ok(granted.length > urgent, "the others get what is left");
});

test("a share leaves to the less urgent what the urgent don't ask for", () => {
  const share = new RateShare(() => 0);
  assert.ok(share.mayTake(2, 1, 0));
  for (let at = 0; at < 40; at++) share.noteAsk(0, at * 100);
  assert.ok(share.mayTake(0, 1, 4000));
  // A tenth of the rate is left to them.
  assert.ok(share.mayTake(2, 1, 4000));
  share.noteGrant(2, 4000);
  assert.ok(!share.mayTake(2, 1, 4000));
  assert.ok(share.mayTake(2, 100, 4000));
});

test("a caller that heeds no long wait is told the longest, spread out", () => {
  const share = new RateShare(() => 0.5);
  const told = Array.from(
    { length: 20 },
    () =>
      share.comeBackMs({ perSecond: 1, soonestMs: 0, longestRetryMs: 3000 }, 0),
  );
  assert.ok(told.every((one) => one <= 3000));
  assert.equal(new Set(told.slice(0, 3)).size, 3);
});

test("a refusal for a limit that has ended, or isn't known yet, holds for little", () => {
  let limit: number | undefined = 1;
  const pace = new LimitPace(() => limit);
  pace.noteRefusal("a", { retryAfterMs: 10_000 }, 0);
  assert.equal(pace.waitMs("a", 0), 10_000);
  limit = undefined;
  assert.equal(pace.waitMs("a", 0), 500);
  assert.equal(pace.waitMs("a", 500), 0);
});

/** Two replicas that decode and one that reads prompts, some with limits. */
function engineView(limits: Limits, failures: string[] = []): PlannerView {
  return view({
    limitOf: (incarnation) => limits[incarnation],
    noteFailure: (incarnation) => void failures.push(incarnation),
  });
}

test("a limited decode replica takes its pace, and no request waits for more", () => {
  const planner = new Planner(engineView({ d1: 0.5 }));
  for (let at = 0; at < 6; at++) {
    planner.enqueue("h", ask(`r${at}`, { tokens: 100, promptTokens: 1 }), 0);
  }
  const given = decodesOf(messages(planner, 0));
  assert.equal(given.filter((one) => one === "d1").length, 2);
  assert.equal(given.filter((one) => one === "d2").length, 4);
});

test("where all decode replicas are limited, what can't begin in time is refused at once", () => {
  const planner = new Planner(engineView({ d1: 0.2, d2: 0.2 }));
  for (let at = 0; at < 12; at++) {
    planner.enqueue("h", ask(`r${at}`, { tokens: 10, promptTokens: 1 }), 0);
  }
  const answers = messages(planner, 0);
  const refused = answers.filter(isRefused);
  assert.equal(decodesOf(answers).length, 4);
  // At 0.4 a second one more can begin within the callers' 3 s.
  assert.equal(refused.length, 7);
  assert.ok(refused.every((one) => one.basis.isLimited === true));
  assert.equal(planner.waiting, 1);
});

test("prompts wait for a limited prefill replica, and then are read by the decode", () => {
  const failures: string[] = [];
  const planner = new Planner(engineView({ p1: 0.2 }, failures));
  for (const id of ["a", "b", "c"]) {
    planner.enqueue("h", ask(id, { tokens: 10, promptTokens: 1 }), 0);
  }
  const [a, b, ...more] = messages(planner, 0);
  assert.deepEqual([a, b].map((one) => one?.type === "grant" && one.prefill), [
    "p1",
    "p1",
  ]);
  assert.equal(more.length, 0);
  const stage = PlaceStage.prefillLimited;
  const word = { type: "progress" as const, id: "b", stage };
  planner.report({ ...word, retryAfterMs: 9000 }, 10);
  const [c] = messages(planner, 300);
  assert.ok(c?.type === "grant" && c.prefill === undefined);
  assert.deepEqual(failures, []);
});

test("a replica whose limit is used up counts as busy, so its stage is not taken for idle", () => {
  const planner = new Planner(engineView({ d1: 1, d2: 1 }));
  const before = planner.loadOf("s", 0);
  for (let at = 0; at < 4; at++) {
    planner.enqueue("h", ask(`r${at}`, { tokens: 1, promptTokens: 1 }), 0);
  }
  messages(planner, 0);
  assert.ok(before.decode < 0.1);
  assert.equal(planner.loadOf("s", 0).decode, 1);
});

test("a stream that could only go on later than its caller waits ends at once", () => {
  const planner = new Planner(engineView({ d1: 0.2 }));
  const begun = { begun: true, excluded: ["d2"], tokens: 10 };
  planner.enqueue("h", ask("first", begun), 0);
  assert.deepEqual(decodesOf(messages(planner, 0)), ["d1"]);
  const stage = PlaceStage.refused;
  const word = { type: "progress" as const, id: "first", stage };
  planner.report({ ...word, retryAfterMs: 5000 }, 10);
  planner.enqueue("h", ask("again", { ...begun, patienceMs: 6000 }), 20);
  assert.deepEqual(messages(planner, 20), []);
  planner.enqueue("h", ask("short", { ...begun, patienceMs: 3000 }), 20);
  const [refused] = messages(planner, 20);
  assert.ok(isRefused(refused) && refused.id === "short");
});
