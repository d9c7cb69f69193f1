/**
 * Property test of the planner with generated workloads, such as long prompts,
 * long responses, little memory and repeated retries. Guards against requests
 * without a response and memory that is reserved twice.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { messages, planRequest, replica, view } from "./planner_rig.ts";

const STEP_MS = 20;
const TIMEOUT_MS = 1000;

type ActiveAssignment = { decode: string; tokens: number; endsAt: number };

const workload = fc.record({
  prefills: fc.integer({ min: 0, max: 8 }),
  decodes: fc.integer({ min: 1, max: 30 }),
  memory: fc.integer({ min: 200, max: 40_000 }),
  prompt: fc.integer({ min: 1, max: 9000 }),
  output: fc.integer({ min: 1, max: 4000 }),
  lifetimeMs: fc.integer({ min: 20, max: 3000 }),
  requests: fc.array(
    fc.record({
      atMs: fc.integer({ min: 0, max: 2000 }),
      key: fc.integer({ min: 0, max: 9 }),
      begun: fc.boolean(),
    }),
    { minLength: 1, maxLength: 60 },
  ),
});

function replicasOf(prefills: number, decodes: number): ReplicaEntry[] {
  const createReplicas = (prefix: string, count: number, stage: ReplicaStage) =>
    Array.from(
      { length: count },
      (_, index) => replica(`${prefix}${index}`, stage),
    );
  return [
    ...createReplicas("p", prefills, ReplicaStage.prefill),
    ...createReplicas("d", decodes, ReplicaStage.decode),
  ];
}

test("responds to every request in time and never reserves memory twice, for any workload", () => {
  fc.assert(
    fc.property(workload, (load) => {
      const replicas = replicasOf(load.prefills, load.decodes);
      const planner = new Planner(view({
        replicasOf: () => replicas,
        memoryOf: () => load.memory,
      }));
      const tokens = load.prompt + load.output;
      const waiting = new Map<string, number>();
      const active = new Map<string, ActiveAssignment>();
      const last = Math.max(...load.requests.map(({ atMs }) => atMs));
      for (let now = 0; now <= last + TIMEOUT_MS + STEP_MS; now += STEP_MS) {
        load.requests.forEach(({ atMs, key, begun }, index) => {
          if (atMs < now || atMs >= now + STEP_MS) return;
          const id = `r${index}`;
          waiting.set(id, now + TIMEOUT_MS);
          const sizes = { tokens, promptTokens: load.prompt };
          const timing = { patienceMs: TIMEOUT_MS };
          const fields = { ...sizes, ...timing, key: `k${key}`, begun };
          planner.enqueue("h", planRequest(id, fields), now);
        });
        for (const [id, { endsAt }] of active) {
          if (endsAt > now) continue;
          active.delete(id);
          const stage = "answered" as const;
          planner.report({ type: "progress", id, stage }, now);
        }
        for (const message of messages(planner, now)) {
          if (message.type === "ping") continue;
          waiting.delete(message.id);
          if (message.type === "refusal") continue;
          const { id, decode } = message;
          active.set(id, { decode, tokens, endsAt: now + load.lifetimeMs });
          const stage = "prefilled" as const;
          planner.report({ type: "progress", id, stage, spentMs: 1 }, now);
        }
        for (const [id, abandonAt] of waiting) {
          assert.ok(
            now < abandonAt + STEP_MS,
            `${id} still waits at ${now} ms`,
          );
        }
        for (const { incarnation } of replicas) {
          const assignments = [...active.values()]
            .filter(({ decode }) => decode === incarnation);
          const sum = assignments.reduce(
            (total, assignment) => total + assignment.tokens,
            0,
          );
          const fits = sum <= load.memory || assignments.length <= 1;
          assert.ok(
            fits,
            `${incarnation}: ${sum} of ${load.memory} tokens reserved`,
          );
        }
      }
      assert.equal(waiting.size, 0);
    }),
    { numRuns: 300 },
  );
});
