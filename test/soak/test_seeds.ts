/** Tests that play short soaks with fixed seeds against real processes. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { formatEarlyHangups } from "./own_ends.ts";
import { runSoak } from "./run.ts";
import { createSchedule } from "./schedule.ts";

const FAULT_WINDOW_MS = 5000;

/** How the names of tests with one class of faults only call them. */
const FAULTS = {
  outOfStep: "hosts out of step",
  lifecycle: "starts and stops",
} as const;

/** Declares a test for each seed; the options are those of a schedule. */
export function testSeeds(
  seeds: readonly number[],
  { isFirstKindsOnly = false, only }: {
    readonly isFirstKindsOnly?: boolean;
    readonly only?: keyof typeof FAULTS;
  } = {},
): void {
  for (const seed of seeds) {
    const faults = only ? FAULTS[only] : "the faults";
    const name = `no guarantee is violated under ${faults} of seed ${seed}`;
    test(name, knownRed(name), async () => {
      const schedule = createSchedule({
        seed,
        windowMs: FAULT_WINDOW_MS,
        isFirstKindsOnly,
        hasOutOfStepHosts: only === "outOfStep",
        hasLifecycleFaults: only === "lifecycle",
        only,
      });
      const { violations, served, folder, delays, earlyHangups } =
        await runSoak(schedule);
      if (earlyHangups > 0) console.log(formatEarlyHangups(earlyHangups));
      const details = JSON.stringify({ violations, folder, delays }, null, 2);
      assert.equal(violations.length, 0, details);
      assert.ok(served > 0);
    });
  }
}
