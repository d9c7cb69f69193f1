/** Tests that play short soaks with fixed seeds against real processes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { runSoak } from "./run.ts";
import { createSchedule } from "./schedule.ts";

const FAULT_WINDOW_MS = 5000;

/** Declares a test for each seed; the options are those of a schedule. */
export function testSeeds(
  seeds: readonly number[],
  { isFirstKindsOnly = false, isOutOfStepOnly = false }: {
    readonly isFirstKindsOnly?: boolean;
    readonly isOutOfStepOnly?: boolean;
  } = {},
): void {
  for (const seed of seeds) {
    const faults = isOutOfStepOnly ? "hosts out of step" : "the faults";
    const name = `no guarantee is violated under ${faults} of seed ${seed}`;
    test(name, knownRed(name), async () => {
      const schedule = createSchedule({
        seed,
        windowMs: FAULT_WINDOW_MS,
        isFirstKindsOnly,
        hasOutOfStepHosts: isOutOfStepOnly,
        isOutOfStepOnly,
      });
      const { violations, served, folder, delays } = await runSoak(schedule);
      const details = JSON.stringify({ violations, folder, delays }, null, 2);
      assert.equal(violations.length, 0, details);
      assert.ok(served > 0);
    });
  }
}
