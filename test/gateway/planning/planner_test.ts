/** The planner: reserved memory, scheduling order, prefills, lost hosts. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { schedulingOrder } from "../../../src/gateway/planning/order.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import {
  fill,
  grantedIds,
  MEMORY,
  messages,
  planRequest,
  replica,
  view,
} from "./planner_rig.ts";

test("never reserves more memory than a replica has", () => {
  const command = fc.oneof(
    fc.record({
      type: fc.constant("ask"),
      tokens: fc.integer({ min: 1, max: 900 }),
    }),
    fc.record({ type: fc.constant("end"), tokens: fc.nat() }),
  );
  fc.assert(fc.property(fc.array(command), (commands) => {
    const planner = new Planner(view());
    const active = new Map<string, { decode: string; tokens: number }>();
    const sizes = new Map<string, number>();
    commands.forEach(({ type, tokens }, now) => {
      if (type === "ask") {
        sizes.set(`r${now}`, tokens);
        planner.enqueue(
          "host",
          planRequest(`r${now}`, { tokens, promptTokens: 1 }),
          now,
        );
      } else {
        const id = [...active.keys()][tokens % Math.max(1, active.size)];
        if (id !== undefined) {
          active.delete(id);
          planner.report({ type: "progress", id, stage: "ended" }, now);
        }
      }
      for (const message of messages(planner, now)) {
        if (message.type !== "grant") continue;
        const reserved = sizes.get(message.id) ?? 0;
        active.set(message.id, { decode: message.decode, tokens: reserved });
      }
      for (const decode of ["d1", "d2"]) {
        const assignments = [...active.values()]
          .filter((assignment) => assignment.decode === decode);
        const sum = assignments.reduce(
          (total, assignment) => total + assignment.tokens,
          0,
        );
        assert.ok(sum <= MEMORY, `${decode}: ${sum} tokens reserved`);
      }
    });
  }));
});

test("orders requests that may have run first, then those on time, then late ones, by deadline", () => {
  const common = { priority: 0, isRetry: false, startTag: 0 };
  const newRequests = [500, 10, 300, 5].map((dueAt) => (
    { ...common, dueAt, mayHaveRun: false }
  ));
  const resumed = { ...common, dueAt: 1, mayHaveRun: true };
  const order = schedulingOrder([...newRequests, resumed], 0, () => 100);
  assert.deepEqual(order.map((request) => request.dueAt), [1, 300, 500, 5, 10]);
});

test("queues requests of a full pool and refuses them when they time out", () => {
  const planner = new Planner(view());
  for (const id of ["a", "b", "c", "d"]) {
    planner.enqueue("h", planRequest(id), 0);
  }
  assert.deepEqual(grantedIds(messages(planner, 0)), ["a", "b", "c", "d"]);
  // In total there are 400 free tokens, but no replica has 300.
  planner.enqueue("h", planRequest("e", { tokens: 300, patienceMs: 100 }), 0);
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
  planner.enqueue("h", planRequest("f"), 100);
  planner.report({ type: "progress", id: "b", stage: "ended" }, 101);
  assert.deepEqual(grantedIds(messages(planner, 101)), ["f"]);
});

test("never refuses a request early that may have run, and schedules it before new ones", () => {
  const planner = new Planner(view());
  fill(planner);
  planner.enqueue("h", planRequest("new", { slackMs: 500 }), 1);
  const resumed = { begun: true, patienceMs: 100, slackMs: -900 };
  planner.enqueue("h", planRequest("resumed", resumed), 2);
  assert.deepEqual(messages(planner, 2), []);
  planner.report({ type: "progress", id: "a", stage: "ended" }, 3);
  assert.deepEqual(grantedIds(messages(planner, 3)), ["resumed"]);
});

test("assigns a retry to the replica that has its prompt cached", () => {
  const planner = new Planner(view());
  planner.enqueue("h", planRequest("a", { key: "k" }), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant" && first.prefill !== undefined);
  const prefilled = { stage: "prefilled", spentMs: 50 } as const;
  planner.report({ type: "progress", id: "a", ...prefilled }, 50);
  planner.report({ type: "progress", id: "a", stage: "failed" }, 60);
  planner.enqueue("h", planRequest("other"), 60);
  planner.enqueue(
    "other host",
    planRequest("b", { key: "k", begun: true }),
    60,
  );
  const retried = messages(planner, 60).find((message) =>
    message.type === "grant" && message.id === "b"
  );
  assert.deepEqual(retried, { type: "grant", id: "b", decode: first.decode });
});

test("doesn't assume that a prompt is cached at its decode replica after its export was lost", () => {
  const planner = new Planner(view());
  planner.enqueue("h", planRequest("a", { key: "k" }), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant");
  const prefilled = { stage: "prefilled", spentMs: 50 } as const;
  planner.report({ type: "progress", id: "a", ...prefilled }, 50);
  planner.report({ type: "progress", id: "a", stage: "export-lost" }, 60);
  planner.enqueue("h", planRequest("b", { key: "k" }), 60);
  const [again] = messages(planner, 60);
  assert.ok(again?.type === "grant" && again.prefill !== undefined);
});

test("refuses no late request as busy while there is free memory", () => {
  const planner = new Planner(view({ memoryOf: () => 4000 }));
  const late = { slackMs: -500 };
  for (const id of ["a", "b", "c"]) {
    planner.enqueue("h", planRequest(id, late), 0);
  }
  const all = messages(planner, 0);
  assert.ok(all.every((message) => message.type === "grant"));
});

test("temporarily skips a replica that refused a reservation", () => {
  const planner = new Planner(view());
  planner.enqueue("h", planRequest("a"), 0);
  const [first] = messages(planner, 0);
  assert.ok(first?.type === "grant");
  planner.report({ type: "progress", id: "a", stage: "refused" }, 1);
  planner.enqueue("h", planRequest("b"), 1);
  const [second] = messages(planner, 1);
  assert.ok(second?.type === "grant");
  assert.notEqual(second.decode, first.decode);
});

test("queues prefills beyond the backlog that keeps the replicas busy", () => {
  const planner = new Planner(view({ memoryOf: () => 1e6 }));
  const large = { promptTokens: 5000, slackMs: 5000 };
  for (const id of ["a", "b", "c"]) {
    planner.enqueue("h", planRequest(id, large), 0);
  }
  assert.deepEqual(grantedIds(messages(planner, 0)), ["a"]);
  planner.report(
    { type: "progress", id: "a", stage: "prefilled", spentMs: 250 },
    250,
  );
  assert.deepEqual(grantedIds(messages(planner, 250)), ["b"]);
});

test("uses local prefill when there are no prefill replicas", () => {
  const replicas = [replica("d1", ReplicaStage.decode)];
  const planner = new Planner(view({ replicasOf: () => replicas }));
  planner.enqueue("h", planRequest("a"), 0);
  assert.deepEqual(messages(planner, 0), [
    { type: "grant", id: "a", decode: "d1" },
  ]);
});

test("refuses a request at once when there are no decode replicas", () => {
  const replicas = [replica("p1", ReplicaStage.prefill)];
  const planner = new Planner(view({ replicasOf: () => replicas }));
  planner.enqueue("h", planRequest("a"), 0);
  assert.deepEqual(messages(planner, 0), [
    {
      type: "refusal",
      id: "a",
      reason: "no-replica",
      basis: { decodes: 0, held: 0, waiting: 1 },
    },
  ]);
});

test("releases the assignments of a lost host after their shortened TTL", () => {
  const planner = new Planner(view());
  for (const id of ["a", "b", "c", "d"]) {
    planner.enqueue("lost", planRequest(id), 0);
  }
  assert.equal(grantedIds(messages(planner, 0)).length, 4);
  planner.noteHostLost("lost", 10);
  planner.enqueue("h", planRequest("e", { patienceMs: 10_000 }), 10);
  assert.deepEqual(grantedIds(messages(planner, 2009)), []);
  assert.deepEqual(grantedIds(messages(planner, 2010)), ["e"]);
});

test("temporarily avoids a prefill replica whose exports get lost", () => {
  const planner = new Planner(view());
  const loseExport = (id: string, now: number) => {
    planner.enqueue("h", planRequest(id), now);
    messages(planner, now);
    planner.report({ type: "progress", id, stage: "prefilled" }, now);
    planner.report({ type: "progress", id, stage: "export-lost" }, now);
  };
  loseExport("a", 0);
  loseExport("b", 1);
  planner.enqueue("h", planRequest("c"), 2);
  const [whileAvoided] = messages(planner, 2);
  assert.ok(whileAvoided?.type === "grant");
  assert.equal(whileAvoided.prefill, undefined);
  planner.enqueue("h", planRequest("d"), 1002);
  const [again] = messages(planner, 1002);
  assert.ok(again?.type === "grant");
  assert.equal(again.prefill, "p1");
});

test("reports a failure for the replica that failed", () => {
  const failures: string[] = [];
  const planner = new Planner(view({
    noteFailure: (incarnation) => failures.push(incarnation),
  }));
  planner.enqueue("h", planRequest("a"), 0);
  const [grant] = messages(planner, 0);
  assert.ok(grant?.type === "grant");
  planner.report({ type: "progress", id: "a", stage: "prefill-failed" }, 1);
  planner.report({ type: "progress", id: "a", stage: "failed" }, 2);
  assert.deepEqual(failures, ["p1", grant.decode]);
});

test("reports success after a prefill or a complete response, but not after a mere end", () => {
  const successes: string[] = [];
  const planner = new Planner(view({
    noteSuccess: (incarnation) => successes.push(incarnation),
  }));
  for (const id of ["a", "b"]) planner.enqueue("h", planRequest(id), 0);
  const [grant] = messages(planner, 0);
  assert.ok(grant?.type === "grant");
  planner.report({ type: "progress", id: "a", stage: "prefilled" }, 1);
  planner.report({ type: "progress", id: "a", stage: "answered" }, 2);
  planner.report({ type: "progress", id: "b", stage: "ended" }, 3);
  assert.deepEqual(successes, ["p1", grant.decode]);
});

test("a few samples close together don't tilt the fitted prefill times", () => {
  const planner = new Planner(view({ memoryOf: () => 1e6 }));
  for (let round = 0; round < 5; round++) {
    planner.enqueue(
      "h",
      planRequest(`a${round}`, { promptTokens: 1000 + round }),
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
  const large = { promptTokens: 5000, slackMs: 5000 };
  for (const id of ["x", "y", "z"]) {
    planner.enqueue("h", planRequest(id, large), 10);
  }
  assert.deepEqual(grantedIds(messages(planner, 10)), ["x"]);
});

test("assigns a request to the requester's hall while a replica there has room", () => {
  const local = { ...replica("local", ReplicaStage.decode), hall: "h" };
  const remote = { ...replica("remote", ReplicaStage.decode), hall: "x" };
  const planner = new Planner(view({ replicasOf: () => [remote, local] }));
  const chosen: string[] = [];
  for (let index = 0; index < 8; index++) {
    planner.enqueue("h", planRequest(`r${index}`, { tokens: 100 }), 0);
    for (const message of messages(planner, 0)) {
      if (message.type === "grant") chosen.push(message.decode);
    }
  }
  const isLocal = chosen.map((decode) => decode === "local");
  assert.deepEqual(isLocal.slice(0, 6), Array.from({ length: 6 }, () => true));
  assert.ok(isLocal.slice(6).includes(false), chosen.join(", "));
});
