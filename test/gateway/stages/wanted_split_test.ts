/**
 * The search for a better split, with any speeds, counts and demand: no replica
 * stays unused that would help, and no service is left without a stage.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import type { ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  applyChanges,
  capacityOf,
  membersOf,
} from "../../../src/gateway/stages/split_members.ts";
import { wantedSteps } from "../../../src/gateway/stages/wanted_split.ts";
import {
  capacitiesOf,
  demandOf,
  mixedPool,
  replicasOf,
  type Spec,
  valueOf,
} from "./split_rig.ts";

type Demand = ReturnType<typeof demandOf>;

const LIMITS = { steps: 20, isSwapAllowed: true };

test("no replica is left where another stage would serve more, and both stages stay", () => {
  const specs = fc.array(
    fc.tuple(
      fc.constantFrom("a", "b", "c"),
      fc.constantFrom<ReplicaStage>("prefill", "decode"),
      fc.double({ min: 0.4, max: 2.5, noNaN: true }),
    ),
    { minLength: 2, maxLength: 9 },
  ).filter((all) => new Set(all.map((spec) => spec[1])).size === 2);
  const load = fc.double({ min: 0, max: 8, noNaN: true });
  fc.assert(
    fc.property(specs, load, load, (pool, prefill, decode) => {
      const demand = demandOf(prefill, decode);
      const value = valueOf(pool, demand);
      const members = membersOf(replicasOf(pool), capacitiesOf(pool));
      const steps = wantedSteps(members, value, LIMITS);
      assert.ok(steps.length < LIMITS.steps);
      const after = steps.reduce(
        (split, step) => applyChanges(split, step.changes),
        members,
      );
      const { prefills, decodes } = capacityOf(after);
      assert.ok(prefills > 0 && decodes > 0);
      assert.deepEqual(wantedSteps(after, value, LIMITS), []);
      const reached = value.of(capacityOf(after));
      assert.ok(reached >= value.of(capacityOf(members)));
    }),
    { numRuns: 300 },
  );
});

/** The value that the steps reach, as a share of the best split's. */
function shareOfBest(pool: readonly Spec[], demand: Demand): number {
  const value = valueOf(pool, demand);
  const members = membersOf(replicasOf(pool), capacitiesOf(pool));
  const reached = wantedSteps(members, value, LIMITS).at(-1)?.value ??
    value.of(capacityOf(members));
  let best = 0;
  for (let mask = 1; mask < 2 ** pool.length - 1; mask++) {
    const split = members.map((member, at) => ({
      ...member,
      stage: (mask >> at) % 2 === 1 ? "prefill" as const : "decode" as const,
    }));
    best = Math.max(best, value.of(capacityOf(split)));
  }
  return reached / best;
}

const LOAD = fc.double({ min: 0.1, max: 8, noNaN: true });

test("with a quarter of the replicas twice as fast, the steps reach nine tenths of the best split", () => {
  const counts = fc.integer({ min: 2, max: 10 });
  const splits = fc.infiniteStream(fc.boolean());
  fc.assert(
    fc.property(counts, splits, LOAD, LOAD, (count, prefills, ...loads) => {
      const pool = mixedPool(
        count,
        (at) => at === 0 || prefills.next().value ? "prefill" : "decode",
      ).map(([, ...spec]): Spec => ["a", ...spec]);
      const share = shareOfBest(
        pool.with(-1, ["a", "decode", 1]),
        demandOf(...loads),
      );
      assert.ok(share >= 0.9, `${share} of the best`);
    }),
    { numRuns: 200 },
  );
});

test("with any speeds the steps reach four fifths of the best split", () => {
  const specs = fc.array(fc.double({ min: 0.4, max: 2.5, noNaN: true }), {
    minLength: 2,
    maxLength: 9,
  });
  fc.assert(
    fc.property(specs, LOAD, LOAD, (speeds, prefill, decode) => {
      const pool = speeds.map((speed, at): Spec => [
        "a",
        at === 0 ? "prefill" : "decode",
        speed,
      ]);
      const share = shareOfBest(pool, demandOf(prefill, decode));
      assert.ok(share >= 0.8, `${share} of the best`);
    }),
    { numRuns: 200 },
  );
});
