/** Planned stops: no new work after a few seconds, and nothing is cut. */
import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { ErrorKind } from "../../src/core/mod.ts";
import type { CallRecord } from "../fake/callers.ts";
import type { FakeFleet } from "../fake/fleet.ts";
import { play } from "./play.ts";
import { calmSchedules, type Timed } from "./schedule.ts";

const SEED = 20261202;
const RUNS = 40;
/** No new work this long after a stop was published. */
const IN_FORCE_MS = 4000;

/** What may end a request when nothing fails: refusals before it ran. */
const REFUSALS: readonly ErrorKind[] = [
  ErrorKind.overloaded,
  ErrorKind.noUpstream,
  ErrorKind.duplicateRunning,
  ErrorKind.duplicateAnswered,
  ErrorKind.claimTaken,
];

function stopFaults(fleet: FakeFleet, schedule: readonly Timed[]): string[] {
  const ids = [...fleet.upstreams.keys()];
  const taken = new Map<string, number>();
  const faults: string[] = [];
  for (const { at, what } of [...schedule].sort((a, b) => a.at - b.at)) {
    if (what.type !== "stop") continue;
    const id = ids[what.upstream % ids.length] ?? "";
    if (at < (taken.get(id) ?? 0)) continue;
    const until = at + what.spanMs;
    taken.set(id, until);
    const late = fleet.upstream(id).startTimes
      .filter((time) => time > at + IN_FORCE_MS && time < until);
    if (late.length > 0) faults.push(`${id} got work ${late[0]} after ${at}`);
  }
  return faults;
}

function cutFaults(calls: readonly CallRecord[]): string[] {
  return calls
    .filter((got) => got.error !== undefined && !REFUSALS.includes(got.error))
    .map((got) => `${got.id} was cut: ${got.error}`);
}

test("stopped upstreams get no new work and nothing is cut", () => {
  fc.assert(
    fc.property(calmSchedules, (schedule) => {
      const faults = play(schedule, {}, (fleet, calls) => [
        ...stopFaults(fleet, schedule),
        ...cutFaults(calls),
      ]);
      assert.deepEqual(faults, []);
    }),
    { seed: SEED, numRuns: RUNS, endOnFailure: false },
  );
});
