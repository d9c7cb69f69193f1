/** The planner of a plain service: queues, failures, fullness. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import type { PlanAsk } from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import type { PlannerView } from "../../../src/gateway/planning/view.ts";
import { ask, grants, messages, view } from "./planner_rig.ts";

/** Three replicas of a plain service, one in the asker's hall. */
function plainView(change: Partial<PlannerView> = {}): PlannerView {
  const plain = (incarnation: string, hall: string): ReplicaEntry => ({
    id: incarnation,
    incarnation,
    service: "s",
    address: "127.0.0.1:1",
    hall,
    slots: 4,
    leaving: false,
    coldMs: 0,
  });
  return view({
    replicasOf: () => [plain("near", "h"), plain("b", "x"), plain("c", "y")],
    memoryOf: () => 0,
    ...change,
  });
}

function plainAsk(id: string, change: Partial<PlanAsk> = {}): PlanAsk {
  return ask(id, { tokens: 1, promptTokens: 0, whole: true, ...change });
}

test("a plain service's requests spread over its replicas by what runs", () => {
  const planner = new Planner(plainView());
  const counts = new Map<string, number>();
  for (let at = 0; at < 30; at++) {
    planner.enqueue(`h${at}`, plainAsk(`r${at}`), 0);
    for (const one of messages(planner, 0)) {
      assert.ok(one.type === "grant" && one.prefill === undefined);
      counts.set(one.decode, (counts.get(one.decode) ?? 0) + 1);
    }
  }
  assert.deepEqual([...counts.values()].sort(), [10, 10, 10]);
});

test("a plain replica that fails or is full is passed over", () => {
  const planner = new Planner(plainView({ isPaused: (one) => one === "near" }));
  planner.enqueue("h", plainAsk("a"), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant" && first.decode === "b");
  planner.report({ type: "progress", id: "a", stage: "refused" }, 1);
  planner.enqueue("h", plainAsk("b"), 1);
  const [second] = messages(planner, 1);
  assert.ok(second?.type === "grant" && second.decode === "c");
});

test("a plain service that is full at every replica refuses at once", () => {
  const planner = new Planner(plainView());
  for (const id of ["a", "b", "c"]) {
    planner.enqueue("h", plainAsk(id), 0);
    assert.deepEqual(grants(messages(planner, 0)), [id]);
    planner.report({ type: "progress", id, stage: "refused" }, 0);
  }
  planner.enqueue("h", plainAsk("d"), 1);
  const [refusal] = messages(planner, 1);
  assert.ok(refusal?.type === "refusal" && refusal.reason === "busy");
  assert.equal(refusal.retryAfterMs, 300);
  planner.enqueue("h", plainAsk("e", { excluded: ["near", "b", "c"] }), 2);
  const [none] = messages(planner, 2);
  assert.ok(none?.type === "refusal" && none.reason === "no-replica");
});

test("long queues of plain replicas are kept for the most urgent that still come", () => {
  const planner = new Planner(plainView());
  planner.enqueue("h", plainAsk("first", { priority: 1 }), 0);
  for (let at = 1; at < 36; at++) {
    planner.enqueue("h", plainAsk(`r${at}`, { priority: 2 }), 0);
  }
  assert.equal(grants(messages(planner, 0)).length, 36);
  planner.enqueue("h", plainAsk("refused", { priority: 2 }), 1);
  assert.equal(messages(planner, 1)[0]?.type, "refusal");
  planner.enqueue("h", plainAsk("urgent", { priority: 1 }), 2);
  planner.enqueue("h", plainAsk("other", { priority: 2 }), 2);
  const [first, second] = messages(planner, 2);
  assert.ok(first?.type === "grant" && first.id === "urgent");
  assert.ok(second?.type === "refusal" && second.reason === "busy");
  planner.enqueue("h", plainAsk("later", { priority: 2 }), 3000);
  assert.deepEqual(grants(messages(planner, 3000)), ["later"]);
});

test("a plain request stays in its hall while the replica there has room", () => {
  const planner = new Planner(plainView());
  const chosen: string[] = [];
  for (let at = 0; at < 4; at++) {
    planner.enqueue("h", plainAsk(`r${at}`), 0);
    for (const one of messages(planner, 0)) {
      if (one.type === "grant") chosen.push(one.decode);
    }
  }
  assert.deepEqual(chosen, ["near", "near", "near", "b"]);
});
