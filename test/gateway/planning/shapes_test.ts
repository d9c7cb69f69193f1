/**
 * The planner under shapes of traffic that no deployment here has: long prompts
 * and short answers, the reverse, memory for two requests, one replica or many,
 * callers that come back again and again.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { ask, messages, replica, view } from "./planner_rig.ts";

const STEP_MS = 20;
const PATIENCE_MS = 1000;

type Held = { decode: string; tokens: number; until: number };

const shape = fc.record({
  prefills: fc.integer({ min: 0, max: 8 }),
  decodes: fc.integer({ min: 1, max: 30 }),
  memory: fc.integer({ min: 200, max: 40_000 }),
  prompt: fc.integer({ min: 1, max: 9000 }),
  output: fc.integer({ min: 1, max: 4000 }),
  lifeMs: fc.integer({ min: 20, max: 3000 }),
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
  const named = (name: string, count: number, stage: ReplicaStage) =>
    Array.from({ length: count }, (_, at) => replica(`${name}${at}`, stage));
  return [
    ...named("p", prefills, ReplicaStage.prefill),
    ...named("d", decodes, ReplicaStage.decode),
  ];
}

test("of any shape, all are answered in time and no memory is given twice", () => {
  fc.assert(
    fc.property(shape, (one) => {
      const replicas = replicasOf(one.prefills, one.decodes);
      const planner = new Planner(view({
        replicasOf: () => replicas,
        memoryOf: () => one.memory,
      }));
      const tokens = one.prompt + one.output;
      const waiting = new Map<string, number>();
      const held = new Map<string, Held>();
      const last = Math.max(...one.requests.map(({ atMs }) => atMs));
      for (let now = 0; now <= last + PATIENCE_MS + STEP_MS; now += STEP_MS) {
        one.requests.forEach(({ atMs, key, begun }, at) => {
          if (atMs < now || atMs >= now + STEP_MS) return;
          const id = `r${at}`;
          waiting.set(id, now + PATIENCE_MS);
          const sizes = { tokens, promptTokens: one.prompt };
          const times = { patienceMs: PATIENCE_MS };
          const wish = { ...sizes, ...times, key: `k${key}`, begun };
          planner.enqueue("h", ask(id, wish), now);
        });
        for (const [id, { until }] of held) {
          if (until > now) continue;
          held.delete(id);
          const stage = "answered" as const;
          planner.report({ type: "progress", id, stage }, now);
        }
        for (const message of messages(planner, now)) {
          if (message.type === "ping") continue;
          waiting.delete(message.id);
          if (message.type === "refusal") continue;
          const { id, decode } = message;
          held.set(id, { decode, tokens, until: now + one.lifeMs });
          const stage = "prefilled" as const;
          planner.report({ type: "progress", id, stage, spentMs: 1 }, now);
        }
        for (const [id, until] of waiting) {
          assert.ok(now < until + STEP_MS, `${id} waits at ${now}`);
        }
        for (const { incarnation } of replicas) {
          const here = [...held.values()]
            .filter(({ decode }) => decode === incarnation);
          const sum = here.reduce((total, place) => total + place.tokens, 0);
          const fits = sum <= one.memory || here.length <= 1;
          assert.ok(fits, `${incarnation} holds ${sum} of ${one.memory}`);
        }
      }
      assert.equal(waiting.size, 0);
    }),
    { numRuns: 300 },
  );
});
