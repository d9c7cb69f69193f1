/** The promises, over random schedules of all faults together. */
import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { play } from "./play.ts";
import { schedules } from "./schedule.ts";

/** The same runs every time; `npm run test:long` takes a fresh seed. */
const SEED = 20261202;
const RUNS = 60;

test("the promises hold over random schedules of calls and faults", () => {
  fc.assert(
    fc.property(schedules, (schedule) => {
      assert.deepEqual(play(schedule), []);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: false },
  );
});
