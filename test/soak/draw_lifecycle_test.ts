/** Guards against seeds whose faults change when other kinds are added. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { LIFECYCLE_KINDS } from "./draw_lifecycle.ts";
import { createSchedule } from "./schedule.ts";

const SEEDS = Array.from({ length: 50 }, (_, at) => at + 1);

test("disrupted starts and stops leave the other faults of a seed unchanged", () => {
  for (const seed of SEEDS) {
    const options = { seed, windowMs: 10_000, hasOutOfStepHosts: true };
    const without = createSchedule(options);
    const all = createSchedule({ ...options, hasLifecycleFaults: true });
    const others = all.faults.filter(({ kind }) =>
      !LIFECYCLE_KINDS.includes(kind)
    );
    const { memoryMb } = all;
    const expected = memoryMb === undefined
      ? without
      : { ...without, memoryMb };
    assert.deepEqual({ ...all, faults: others }, expected);
  }
});

test("all kinds of disrupted starts and stops are drawn", () => {
  const drawn = new Set(
    SEEDS.flatMap((seed) => {
      const options = { seed, windowMs: 5000, hasLifecycleFaults: true };
      return createSchedule({ ...options, only: "lifecycle" }).faults;
    }).map(({ kind }) => kind),
  );
  assert.deepEqual([...drawn].sort(), [...LIFECYCLE_KINDS].sort());
});
