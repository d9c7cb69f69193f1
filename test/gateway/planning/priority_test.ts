/** Routes' priorities at the planner of a model service. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { inOrder } from "../../../src/gateway/planning/order.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { ask, fill, grants, messages, view } from "./planner_rig.ts";

test("the more urgent go first, also when they are late", () => {
  const one = (dueAt: number, priority: number, begun = false) => ({
    dueAt,
    priority,
    begun,
    returned: false,
  });
  const order = inOrder(
    [one(200, 3), one(5, 1), one(300, 1), one(900, 3, true)],
    0,
    () => 100,
  );
  assert.deepEqual(order.map(({ dueAt }) => dueAt), [900, 300, 5, 200]);
});

test("a less urgent request takes no memory that a more urgent one waits for", () => {
  const planner = new Planner(view());
  fill(planner);
  planner.enqueue("h", ask("urgent", { priority: 1, tokens: 800 }), 1);
  planner.enqueue("h", ask("small", { priority: 2, tokens: 100 }), 1);
  assert.deepEqual(messages(planner, 1), []);
  planner.report({ type: "progress", id: "a", stage: "ended" }, 2);
  assert.deepEqual(messages(planner, 2), []);
  for (const id of ["b", "c"]) {
    planner.report({ type: "progress", id, stage: "ended" }, 3);
  }
  assert.deepEqual(grants(messages(planner, 3)), ["urgent", "small"]);
});

test("a less urgent queue doesn't have a more urgent request refused", () => {
  const planner = new Planner(view());
  fill(planner);
  const patient = { patienceMs: 6000, slackMs: 6000, priority: 2, tokens: 900 };
  for (const id of ["e", "f"]) planner.enqueue("h", ask(id, patient), 1);
  const hurried = { key: "k", patienceMs: 1000 };
  planner.enqueue("h", ask("urgent", { ...hurried, priority: 1 }), 1);
  assert.deepEqual(messages(planner, 2), []);
  planner.enqueue("h", ask("last", { ...hurried, priority: 2 }), 2);
  const refused = messages(planner, 3);
  assert.deepEqual(refused.map((one) => one.type), ["refusal"]);
});
