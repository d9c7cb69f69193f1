/**
 * Crashes that one host detects reach all hosts, in virtual time: over links,
 * after a restart or a partition, and over the store where no link is open.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  countRefusing,
  crash as reportCrash,
  FORMED_MS,
} from "./crash_reports.ts";
import { namedFingerprints } from "./named_fingerprints.ts";
import { type FleetHost, StateFleet } from "../state/state_fleet.ts";

/**
 * Maximum time for an update to reach all hosts: a probe, batching and three
 * hops.
 */
const PROPAGATED_MS = 100;
/** Maximum time for an update to reach hosts over rows of the store. */
const ROWS_MS = 7000;

/** A host detects that a replica crashed while it ran the request. */
function crash(host: FleetHost, request: string, replica: string): void {
  reportCrash(host, { request, parts: [] }, replica);
}

function countQuarantined(
  hosts: readonly FleetHost[],
  request: string,
): number {
  return countRefusing({ hosts }, { request, parts: [] });
}

for (const size of [1, 3, 9, 30]) {
  test(`three crashes at ${size} hosts quarantine a request at all hosts`, async () => {
    const fleet = new StateFleet(size, size);
    await fleet.runTo(FORMED_MS);
    const at = (index: number) => fleet.hosts[index % size] as FleetHost;
    crash(at(0), "crashing", "a");
    crash(at(1), "crashing", "b");
    await fleet.runTo(FORMED_MS + PROPAGATED_MS);
    assert.equal(countQuarantined(fleet.hosts, "crashing"), 0);
    crash(at(size - 1), "crashing", "c");
    crash(at(size - 1), "concurrent", "c");
    await fleet.runTo(FORMED_MS + 2 * PROPAGATED_MS);
    assert.equal(countQuarantined(fleet.hosts, "crashing"), size);
    assert.equal(countQuarantined(fleet.hosts, "concurrent"), 0);
  });
}

test("crashes that three hosts detect simultaneously reach all hosts", async () => {
  const fleet = new StateFleet(9, 4);
  await fleet.runTo(FORMED_MS);
  for (const [index, replica] of ["a", "b", "c"].entries()) {
    crash(fleet.hosts[index * 3] as FleetHost, "crashing", replica);
  }
  await fleet.runTo(FORMED_MS + PROPAGATED_MS);
  assert.equal(countQuarantined(fleet.hosts, "crashing"), 9);
});

test("a complete response at one host clears a request at all hosts", async () => {
  const fleet = new StateFleet(9, 5);
  await fleet.runTo(FORMED_MS);
  const [first, second] = fleet.hosts as [FleetHost, FleetHost];
  for (const replica of ["a", "b"]) crash(first, "concurrent", replica);
  await fleet.runTo(FORMED_MS + PROPAGATED_MS);
  second.context.crashes.noteAnswered(namedFingerprints("concurrent"));
  await fleet.runTo(FORMED_MS + 2 * PROPAGATED_MS);
  crash(first, "concurrent", "c");
  await fleet.runTo(FORMED_MS + 3 * PROPAGATED_MS);
  assert.equal(countQuarantined(fleet.hosts, "concurrent"), 0);
});

test("a host that starts receives the known crashes from its reader", async () => {
  const fleet = new StateFleet(9, 6);
  await fleet.runTo(FORMED_MS);
  const host = fleet.hosts.find((candidate) =>
    fleet.roleOf(candidate) === "follower"
  ) as FleetHost;
  for (const replica of ["a", "b", "c"]) crash(host, "crashing", replica);
  await fleet.runTo(FORMED_MS + PROPAGATED_MS);
  const added = fleet.add();
  await fleet.runTo(FORMED_MS + 4000);
  assert.equal(countQuarantined([added], "crashing"), 1);
});

test("a partitioned hall receives crashes of other halls when it reconnects", async () => {
  const fleet = new StateFleet(9, 7);
  await fleet.runTo(FORMED_MS);
  const isInside = ({ entry }: FleetHost) => entry.hall === "hall-1";
  const inside = fleet.hosts.filter(isInside);
  fleet.partition((from, to) => isInside(from) !== isInside(to));
  for (const { entry } of inside) fleet.store.setTreatment(entry.id, "silent");
  await fleet.runTo(FORMED_MS + 5000);
  const outside = fleet.hosts.filter((host) => !isInside(host));
  for (const replica of ["a", "b", "c"]) {
    crash(outside[0] as FleetHost, "crashing", replica);
  }
  await fleet.runTo(FORMED_MS + 6000);
  assert.equal(countQuarantined(fleet.hosts, "crashing"), outside.length);
  fleet.partition(() => false);
  for (const { entry } of inside) fleet.store.setTreatment(entry.id, "served");
  await fleet.runTo(FORMED_MS + 10_000);
  assert.equal(countQuarantined(fleet.hosts, "crashing"), 9);
});

test("halls that reach the store but not each other exchange crashes over it", async () => {
  const fleet = new StateFleet(9, 8);
  await fleet.runTo(FORMED_MS);
  fleet.partition((from, to) => from.entry.hall !== to.entry.hall);
  await fleet.runTo(FORMED_MS + 8000);
  for (const [index, replica] of ["a", "b", "c"].entries()) {
    const hall = `hall-${index % 2}`;
    const host = fleet.hosts.find((candidate) => candidate.entry.hall === hall);
    crash(host as FleetHost, "crashing", replica);
  }
  await fleet.runTo(FORMED_MS + 8000 + ROWS_MS);
  assert.equal(countQuarantined(fleet.hosts, "crashing"), 9);
});

test("a host that starts alone reads crashes from the store", async () => {
  const fleet = new StateFleet(3, 9);
  await fleet.runTo(FORMED_MS);
  for (const replica of ["a", "b", "c"]) {
    crash(fleet.hosts[0] as FleetHost, "crashing", replica);
  }
  await fleet.runTo(FORMED_MS + 2000);
  // No other host responds to the started host, as after a crash of all.
  fleet.partition((from, to) => from !== to);
  const added = fleet.add();
  await fleet.runTo(FORMED_MS + 2500);
  assert.equal(countQuarantined([added], "crashing"), 1);
});
