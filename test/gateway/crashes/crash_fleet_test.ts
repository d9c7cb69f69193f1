/**
 * What one host has seen of a crash is known by all, in virtual time: over the
 * links between hosts, by a host that joins later, by a hall that was cut off,
 * and over the store by hosts that no link reaches.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { replicaEntry } from "../replica_entry.ts";
import { type FleetHost, StateFleet } from "../state/state_fleet.ts";

const FORMED_MS = 10_000;
/** Three of the ways between hosts, their gathering, and a probe. */
const TOLD_MS = 100;
/** A row is written within a second of a crash and read each four. */
const ROWS_MS = 7000;

/** A replica crashes under the request at a host. */
function crash(host: FleetHost, fingerprint: string, replica: string): void {
  host.context.crashes.sendBroke(replicaEntry(replica), {
    fingerprint: () => fingerprint,
    isByReplica: true,
  });
}

function holdBack(hosts: readonly FleetHost[], fingerprint: string): number {
  return hosts.filter(({ context }) =>
    context.crashes.quarantineOf(() => fingerprint) !== undefined
  ).length;
}

for (const size of [1, 3, 9, 30]) {
  test(`three crashes at ${size} hosts are known by all`, async () => {
    const fleet = new StateFleet(size, size);
    await fleet.runTo(FORMED_MS);
    const at = (index: number) => fleet.hosts[index % size] as FleetHost;
    crash(at(0), "guilty", "a");
    crash(at(1), "guilty", "b");
    await fleet.runTo(FORMED_MS + TOLD_MS);
    assert.equal(holdBack(fleet.hosts, "guilty"), 0);
    crash(at(size - 1), "guilty", "c");
    crash(at(size - 1), "beside", "c");
    await fleet.runTo(FORMED_MS + 2 * TOLD_MS);
    assert.equal(holdBack(fleet.hosts, "guilty"), size);
    assert.equal(holdBack(fleet.hosts, "beside"), 0);
  });
}

test("crashes that three hosts see in the same moment are known by all", async () => {
  const fleet = new StateFleet(9, 4);
  await fleet.runTo(FORMED_MS);
  for (const [index, replica] of ["a", "b", "c"].entries()) {
    crash(fleet.hosts[index * 3] as FleetHost, "guilty", replica);
  }
  await fleet.runTo(FORMED_MS + TOLD_MS);
  assert.equal(holdBack(fleet.hosts, "guilty"), 9);
});

test("a request that is answered whole at one host is acquitted at all", async () => {
  const fleet = new StateFleet(9, 5);
  await fleet.runTo(FORMED_MS);
  const [one, two] = fleet.hosts as [FleetHost, FleetHost];
  for (const replica of ["a", "b"]) crash(one, "beside", replica);
  await fleet.runTo(FORMED_MS + TOLD_MS);
  two.context.crashes.answered(() => "beside");
  await fleet.runTo(FORMED_MS + 2 * TOLD_MS);
  crash(one, "beside", "c");
  await fleet.runTo(FORMED_MS + 3 * TOLD_MS);
  assert.equal(holdBack(fleet.hosts, "beside"), 0);
});

test("a host that starts anew learns from its reader what all others know", async () => {
  const fleet = new StateFleet(9, 6);
  await fleet.runTo(FORMED_MS);
  const host = fleet.hosts.find((one) =>
    fleet.roleOf(one) === "follower"
  ) as FleetHost;
  for (const replica of ["a", "b", "c"]) crash(host, "guilty", replica);
  await fleet.runTo(FORMED_MS + TOLD_MS);
  const added = fleet.add();
  await fleet.runTo(FORMED_MS + 4000);
  assert.equal(holdBack([added], "guilty"), 1);
});

test("a hall that was cut off knows what crashed elsewhere when it is back", async () => {
  const fleet = new StateFleet(9, 7);
  await fleet.runTo(FORMED_MS);
  const isInside = ({ entry }: FleetHost) => entry.hall === "hall-1";
  const inside = fleet.hosts.filter(isInside);
  fleet.cut((from, to) => isInside(from) !== isInside(to));
  for (const { entry } of inside) fleet.store.treat(entry.id, "silent");
  await fleet.runTo(FORMED_MS + 5000);
  const outside = fleet.hosts.filter((one) => !isInside(one));
  for (const replica of ["a", "b", "c"]) {
    crash(outside[0] as FleetHost, "guilty", replica);
  }
  await fleet.runTo(FORMED_MS + 6000);
  assert.equal(holdBack(fleet.hosts, "guilty"), outside.length);
  fleet.cut(() => false);
  for (const { entry } of inside) fleet.store.treat(entry.id, "served");
  await fleet.runTo(FORMED_MS + 10_000);
  assert.equal(holdBack(fleet.hosts, "guilty"), 9);
});

test("halls that reach the store and not each other learn of crashes by it", async () => {
  const fleet = new StateFleet(9, 8);
  await fleet.runTo(FORMED_MS);
  fleet.cut((from, to) => from.entry.hall !== to.entry.hall);
  await fleet.runTo(FORMED_MS + 8000);
  for (const [index, replica] of ["a", "b", "c"].entries()) {
    const hall = `hall-${index % 2}`;
    const host = fleet.hosts.find((one) => one.entry.hall === hall);
    crash(host as FleetHost, "guilty", replica);
  }
  await fleet.runTo(FORMED_MS + 8000 + ROWS_MS);
  assert.equal(holdBack(fleet.hosts, "guilty"), 9);
});

test("what all hosts knew outlives them in the store", async () => {
  const fleet = new StateFleet(3, 9);
  await fleet.runTo(FORMED_MS);
  for (const replica of ["a", "b", "c"]) {
    crash(fleet.hosts[0] as FleetHost, "guilty", replica);
  }
  await fleet.runTo(FORMED_MS + 2000);
  // Nobody answers the host that starts then, as if all had been killed.
  fleet.cut((from, to) => from !== to);
  const added = fleet.add();
  await fleet.runTo(FORMED_MS + 2500);
  assert.equal(holdBack([added], "guilty"), 1);
});
