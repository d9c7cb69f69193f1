/** Tests when hosts count as cut from all replicas. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { FaultKind } from "./fault_kinds.ts";
import type { FleetHost } from "./fleet.ts";
import { pathCutIntervals } from "./path_faults.ts";

const HOSTS = ["host-1", "host-2", "host-3"].map((name) =>
  ({ process: { name } }) as FleetHost
);

test("a cut counts from when it was injected, not from when it was planned", () => {
  const fault = { atMs: 1000, durationMs: 4000, target: 1 };
  const hall = { ...fault, kind: FaultKind.hallPathsReset };
  const host = { ...fault, kind: FaultKind.hostPathsHang };
  const kill = { ...fault, kind: FaultKind.kill };
  const late = { fromMs: 3000, toMs: 7500 };
  const played = [hall, host, kill].map((one) => ({ fault: one, ...late }));
  assert.deepEqual(pathCutIntervals(HOSTS, played), [
    { hosts: new Set(["host-2"]), ...late },
    { hosts: new Set(["host-2"]), ...late },
  ]);
  const [north] = pathCutIntervals(HOSTS, [
    { fault: { ...hall, target: 0 }, ...late },
  ]);
  assert.deepEqual(north?.hosts, new Set(["host-1", "host-3"]));
});
