/** Guards against requests of a stopping host that are weighed by wrong times. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RunTimes } from "../../../src/gateway/requests/run_times.ts";

const ROUTE = { service: "s", route: "r" };

function longestAt(runs: RunTimes, now: number): number {
  return runs.timeOf(ROUTE, { share: 1, now }).runMs;
}

// A late request was sent in the moment after the longest run had ended.
test("the longest run counts while it is open and at once when it has ended", () => {
  const runs = new RunTimes();
  runs.start(ROUTE, 0).completed(100);
  const run = runs.start(ROUTE, 100);
  assert.equal(longestAt(runs, 5000), 4900);
  run.completed(5050);
  assert.equal(longestAt(runs, 5051), 4950);
});

// Requests were refused because an earlier one had waited for its replica.
test("a run that has not begun is not recorded", () => {
  const runs = new RunTimes();
  runs.start(ROUTE, 0).completed(100);
  const rejected = runs.start(ROUTE, 100);
  rejected.cancelled();
  rejected.dropped(6000);
  assert.equal(longestAt(runs, 6000), 100);
});
