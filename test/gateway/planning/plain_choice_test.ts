/** Assignment of requests to plain replicas: load, failures, full replicas. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ReplicaEntry } from "../../../src/gateway/mod.ts";
import type { PlanRequest } from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import type { PlannerView } from "../../../src/gateway/planning/view.ts";
import { grantedIds, messages, planRequest, view } from "./planner_rig.ts";

/** Three replicas of a plain service, one in the requester's hall. */
function plainView(overrides: Partial<PlannerView> = {}): PlannerView {
  const plainReplica = (incarnation: string, hall: string): ReplicaEntry => ({
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
    replicasOf: () => [
      plainReplica("local", "h"),
      plainReplica("b", "x"),
      plainReplica("c", "y"),
    ],
    memoryOf: () => 0,
    ...overrides,
  });
}

function plainRequest(
  id: string,
  overrides: Partial<PlanRequest> = {},
): PlanRequest {
  return planRequest(id, {
    tokens: 1,
    promptTokens: 0,
    whole: true,
    ...overrides,
  });
}

test("spreads the requests of a plain service over its replicas by load", () => {
  const planner = new Planner(plainView());
  const counts = new Map<string, number>();
  for (let index = 0; index < 30; index++) {
    planner.enqueue(`h${index}`, plainRequest(`r${index}`), 0);
    for (const message of messages(planner, 0)) {
      assert.ok(message.type === "grant" && message.prefill === undefined);
      counts.set(message.decode, (counts.get(message.decode) ?? 0) + 1);
    }
  }
  assert.deepEqual([...counts.values()].sort(), [10, 10, 10]);
});

test("skips plain replicas that fail or are full", () => {
  const planner = new Planner(
    plainView({ isPaused: (incarnation) => incarnation === "local" }),
  );
  planner.enqueue("h", plainRequest("a"), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant" && first.decode === "b");
  planner.report({ type: "progress", id: "a", stage: "refused" }, 1);
  planner.enqueue("h", plainRequest("b"), 1);
  const [second] = messages(planner, 1);
  assert.ok(second?.type === "grant" && second.decode === "c");
});

test("refuses at once when all plain replicas are full", () => {
  const planner = new Planner(plainView());
  for (const id of ["a", "b", "c"]) {
    planner.enqueue("h", plainRequest(id), 0);
    assert.deepEqual(grantedIds(messages(planner, 0)), [id]);
    planner.report({ type: "progress", id, stage: "refused" }, 0);
  }
  planner.enqueue("h", plainRequest("d"), 1);
  const [refusal] = messages(planner, 1);
  assert.ok(refusal?.type === "refusal" && refusal.reason === "busy");
  assert.equal(refusal.retryAfterMs, 300);
  planner.enqueue("h", plainRequest("e", { excluded: ["local", "b", "c"] }), 2);
  const [noReplica] = messages(planner, 2);
  assert.ok(noReplica?.type === "refusal" && noReplica.reason === "no-replica");
});

test("reserves long queues of plain replicas for the most urgent of the recent priorities", () => {
  const planner = new Planner(plainView());
  planner.enqueue("h", plainRequest("first", { priority: 1 }), 0);
  for (let index = 1; index < 36; index++) {
    planner.enqueue("h", plainRequest(`r${index}`, { priority: 2 }), 0);
  }
  assert.equal(grantedIds(messages(planner, 0)).length, 36);
  planner.enqueue("h", plainRequest("refused", { priority: 2 }), 1);
  assert.equal(messages(planner, 1)[0]?.type, "refusal");
  planner.enqueue("h", plainRequest("urgent", { priority: 1 }), 2);
  planner.enqueue("h", plainRequest("other", { priority: 2 }), 2);
  const [first, second] = messages(planner, 2);
  assert.ok(first?.type === "grant" && first.id === "urgent");
  assert.ok(second?.type === "refusal" && second.reason === "busy");
  planner.enqueue("h", plainRequest("later", { priority: 2 }), 3000);
  assert.deepEqual(grantedIds(messages(planner, 3000)), ["later"]);
});

test("assigns a plain request to the requester's hall while a replica there has room", () => {
  const planner = new Planner(plainView());
  const chosen: string[] = [];
  for (let index = 0; index < 4; index++) {
    planner.enqueue("h", plainRequest(`r${index}`), 0);
    for (const message of messages(planner, 0)) {
      if (message.type === "grant") chosen.push(message.decode);
    }
  }
  assert.deepEqual(chosen, ["local", "local", "local", "b"]);
});
