/** The planner: memory, order of due times, prefills, lost hosts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { inOrder } from "../../../src/gateway/planning/order.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import {
  ask,
  fill,
  grants,
  MEMORY,
  messages,
  replica,
  view,
} from "./planner_rig.ts";

test("no more memory is given than a replica has", () => {
  const command = fc.oneof(
    fc.record({
      type: fc.constant("ask"),
      tokens: fc.integer({ min: 1, max: 900 }),
    }),
    fc.record({ type: fc.constant("end"), tokens: fc.nat() }),
  );
  fc.assert(fc.property(fc.array(command), (commands) => {
    const planner = new Planner(view());
    const held = new Map<string, { decode: string; tokens: number }>();
    const sizes = new Map<string, number>();
    commands.forEach(({ type, tokens }, now) => {
      if (type === "ask") {
        sizes.set(`r${now}`, tokens);
        planner.enqueue(
          "host",
          ask(`r${now}`, { tokens, promptTokens: 1 }),
          now,
        );
      } else {
        const id = [...held.keys()][tokens % Math.max(1, held.size)];
        if (id !== undefined) {
          held.delete(id);
          planner.report({ type: "progress", id, stage: "ended" }, now);
        }
      }
      for (const message of messages(planner, now)) {
        if (message.type !== "grant") continue;
        const its = sizes.get(message.id) ?? 0;
        held.set(message.id, { decode: message.decode, tokens: its });
      }
      for (const decode of ["d1", "d2"]) {
        const here = [...held.values()].filter((one) => one.decode === decode);
        const sum = here.reduce((total, one) => total + one.tokens, 0);
        assert.ok(sum <= MEMORY, `${decode} holds ${sum}`);
      }
    });
  }));
});

test("begun ones go first, then those in time, then the late, by due time", () => {
  const waits = [500, 10, 300, 5].map((dueAt) => ({
    dueAt,
    begun: false,
    priority: 0,
    returned: false,
  }));
  const begun = { dueAt: 1, begun: true, priority: 0, returned: false };
  const order = inOrder([...waits, begun], 0, () => 100);
  assert.deepEqual(order.map((one) => one.dueAt), [1, 300, 500, 5, 10]);
});

test("a full pool keeps asks waiting and refuses at the end of patience", () => {
  const planner = new Planner(view());
  for (const id of ["a", "b", "c", "d"]) planner.enqueue("h", ask(id), 0);
  assert.deepEqual(grants(messages(planner, 0)), ["a", "b", "c", "d"]);
  // By the sum there is room for 300 tokens, at no replica there is.
  planner.enqueue("h", ask("e", { tokens: 300, patienceMs: 100 }), 0);
  assert.deepEqual(messages(planner, 0), []);
  assert.deepEqual(messages(planner, 99), []);
  const refused = messages(planner, 100);
  assert.deepEqual(refused, [
    {
      type: "refusal",
      id: "e",
      reason: "no-memory",
      basis: { decodes: 2, held: 0.8, waiting: 1 },
    },
  ]);
  planner.enqueue("h", ask("f"), 100);
  planner.report({ type: "progress", id: "b", stage: "ended" }, 101);
  assert.deepEqual(grants(messages(planner, 101)), ["f"]);
});

test("a request that has begun is never refused early and goes before new ones", () => {
  const planner = new Planner(view());
  fill(planner);
  planner.enqueue("h", ask("new", { slackMs: 500 }), 1);
  const late = { begun: true, patienceMs: 100, slackMs: -900 };
  planner.enqueue("h", ask("begun", late), 2);
  assert.deepEqual(messages(planner, 2), []);
  planner.report({ type: "progress", id: "a", stage: "ended" }, 3);
  assert.deepEqual(grants(messages(planner, 3)), ["begun"]);
});

test("a request that comes back goes to the replica that keeps its prompt", () => {
  const planner = new Planner(view());
  planner.enqueue("h", ask("a", { key: "k" }), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant" && first.prefill !== undefined);
  const read = { stage: "prefilled", spentMs: 50 } as const;
  planner.report({ type: "progress", id: "a", ...read }, 50);
  planner.report({ type: "progress", id: "a", stage: "failed" }, 60);
  planner.enqueue("h", ask("other"), 60);
  planner.enqueue("other host", ask("b", { key: "k", begun: true }), 60);
  const again = messages(planner, 60).find((one) =>
    one.type === "grant" && one.id === "b"
  );
  assert.deepEqual(again, { type: "grant", id: "b", decode: first.decode });
});

test("a prompt whose export was lost is not taken to be at its decode replica", () => {
  const planner = new Planner(view());
  planner.enqueue("h", ask("a", { key: "k" }), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant");
  const read = { stage: "prefilled", spentMs: 50 } as const;
  planner.report({ type: "progress", id: "a", ...read }, 50);
  planner.report({ type: "progress", id: "a", stage: "export-lost" }, 60);
  planner.enqueue("h", ask("b", { key: "k" }), 60);
  const [again] = messages(planner, 60);
  assert.ok(again?.type === "grant" && again.prefill !== undefined);
});

test("with memory to spare nothing is refused as busy", () => {
  const planner = new Planner(view({ memoryOf: () => 4000 }));
  const late = { slackMs: -500 };
  for (const id of ["a", "b", "c"]) planner.enqueue("h", ask(id, late), 0);
  const all = messages(planner, 0);
  assert.ok(all.every((one) => one.type === "grant"));
});

test("a replica that refused its reservation is passed over for a while", () => {
  const planner = new Planner(view());
  planner.enqueue("h", ask("a"), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant");
  planner.report({ type: "progress", id: "a", stage: "refused" }, 1);
  planner.enqueue("h", ask("b"), 1);
  const [second] = messages(planner, 1);
  assert.ok(second?.type === "grant");
  assert.notEqual(second.decode, first.decode);
});

test("prefills beyond what keeps the replicas busy wait at the planner", () => {
  const planner = new Planner(view({ memoryOf: () => 1e6 }));
  const big = { promptTokens: 5000, slackMs: 5000 };
  for (const id of ["a", "b", "c"]) planner.enqueue("h", ask(id, big), 0);
  assert.deepEqual(grants(messages(planner, 0)), ["a"]);
  planner.report(
    { type: "progress", id: "a", stage: "prefilled", spentMs: 250 },
    250,
  );
  assert.deepEqual(grants(messages(planner, 250)), ["b"]);
});

test("without prefill replicas the decode replica reads the prompt", () => {
  const only = [replica("d1", ReplicaStage.decode)];
  const planner = new Planner(view({ replicasOf: () => only }));
  planner.enqueue("h", ask("a"), 0);
  assert.deepEqual(messages(planner, 0), [
    { type: "grant", id: "a", decode: "d1" },
  ]);
});

test("without decode replicas an ask is refused at once", () => {
  const only = [replica("p1", ReplicaStage.prefill)];
  const planner = new Planner(view({ replicasOf: () => only }));
  planner.enqueue("h", ask("a"), 0);
  assert.deepEqual(messages(planner, 0), [
    {
      type: "refusal",
      id: "a",
      reason: "no-replica",
      basis: { decodes: 0, held: 0, waiting: 1 },
    },
  ]);
});

test("places of a lost host are freed after a while", () => {
  const planner = new Planner(view());
  for (const id of ["a", "b", "c", "d"]) planner.enqueue("lost", ask(id), 0);
  assert.equal(grants(messages(planner, 0)).length, 4);
  planner.lose("lost", 10);
  planner.enqueue("h", ask("e", { patienceMs: 10_000 }), 10);
  assert.deepEqual(grants(messages(planner, 2009)), []);
  assert.deepEqual(grants(messages(planner, 2010)), ["e"]);
});

test("a prefill replica whose exports get lost is avoided for a while", () => {
  const planner = new Planner(view());
  const lose = (id: string, now: number) => {
    planner.enqueue("h", ask(id), now);
    messages(planner, now);
    planner.report({ type: "progress", id, stage: "prefilled" }, now);
    planner.report({ type: "progress", id, stage: "export-lost" }, now);
  };
  lose("a", 0);
  lose("b", 1);
  planner.enqueue("h", ask("c"), 2);
  const [avoiding] = messages(planner, 2);
  assert.ok(avoiding?.type === "grant");
  assert.equal(avoiding.prefill, undefined);
  planner.enqueue("h", ask("d"), 1002);
  const [again] = messages(planner, 1002);
  assert.ok(again?.type === "grant");
  assert.equal(again.prefill, "p1");
});

test("failures are told to the view, by the replica that failed", () => {
  const failures: string[] = [];
  const planner = new Planner(view({
    noteFailure: (incarnation) => failures.push(incarnation),
  }));
  planner.enqueue("h", ask("a"), 0);
  const [grant] = messages(planner, 0);
  assert.ok(grant?.type === "grant");
  planner.report({ type: "progress", id: "a", stage: "prefill-failed" }, 1);
  planner.report({ type: "progress", id: "a", stage: "failed" }, 2);
  assert.deepEqual(failures, ["p1", grant.decode]);
});

test("whole answers and prefills speak for their replicas, mere ends don't", () => {
  const successes: string[] = [];
  const planner = new Planner(view({
    noteSuccess: (incarnation) => successes.push(incarnation),
  }));
  for (const id of ["a", "b"]) planner.enqueue("h", ask(id), 0);
  const [grant] = messages(planner, 0);
  assert.ok(grant?.type === "grant");
  planner.report({ type: "progress", id: "a", stage: "prefilled" }, 1);
  planner.report({ type: "progress", id: "a", stage: "answered" }, 2);
  planner.report({ type: "progress", id: "b", stage: "ended" }, 3);
  assert.deepEqual(successes, ["p1", grant.decode]);
});

test("a few samples close together don't tilt the prefill times", () => {
  const planner = new Planner(view({ memoryOf: () => 1e6 }));
  for (let round = 0; round < 5; round++) {
    planner.enqueue(
      "h",
      ask(`a${round}`, { promptTokens: 1000 + round }),
      round,
    );
    messages(planner, round);
    planner.report({
      type: "progress",
      id: `a${round}`,
      stage: "prefilled",
      spentMs: 100,
    }, round);
  }
  const big = { promptTokens: 5000, slackMs: 5000 };
  for (const id of ["x", "y", "z"]) planner.enqueue("h", ask(id, big), 10);
  assert.deepEqual(grants(messages(planner, 10)), ["x"]);
});

test("an answer stays in its caller's hall while a replica there has room", () => {
  const near = { ...replica("near", ReplicaStage.decode), hall: "h" };
  const far = { ...replica("far", ReplicaStage.decode), hall: "x" };
  const planner = new Planner(view({ replicasOf: () => [far, near] }));
  const chosen: string[] = [];
  for (let at = 0; at < 8; at++) {
    planner.enqueue("h", ask(`r${at}`, { tokens: 100 }), 0);
    for (const one of messages(planner, 0)) {
      if (one.type === "grant") chosen.push(one.decode);
    }
  }
  const isNear = chosen.map((one) => one === "near");
  assert.deepEqual(isNear.slice(0, 6), Array.from({ length: 6 }, () => true));
  assert.ok(isNear.slice(6).includes(false), chosen.join(", "));
});
