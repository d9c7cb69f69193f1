/**
 * That a replica leaves, as one host heard in an answer, is known to all hosts
 * at once and undone by nothing, in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { replicaEntry } from "../replica_entry.ts";
import { type FleetHost, StateFleet } from "../state/state_fleet.ts";

const FORMED_MS = 8000;
/** News goes over a tree of links that is two ways deep. */
const TOLD_MS = 300;
/** A host that was cut off links anew, or reads the store itself, by then. */
const RELINKED_MS = 3000;
const NOTICE = {
  leaving: true,
  backoff: { type: "none" },
  limit: { type: "none" },
} as const;

const openAt = ({ context: { replicas } }: FleetHost) =>
  replicas.openOf("s").map(({ entry }) => entry.incarnation).sort().join();

/** A formed fleet before replicas "a" and "b", the store away. */
async function formed(size: number, seed: number): Promise<StateFleet> {
  const fleet = new StateFleet(size, seed);
  for (const id of ["a", "b"]) fleet.store.list(replicaEntry(id));
  await fleet.runTo(FORMED_MS + seed * 97);
  for (const { entry } of fleet.hosts) fleet.store.treat(entry.id, "silent");
  await fleet.runTo(fleet.now + 500);
  return fleet;
}

function hear(host: FleetHost | undefined): void {
  host?.context.gate.hear("a", NOTICE, { sentAt: 0, request: "r" });
}

for (const size of [3, 9, 88]) {
  test(`one host's answer closes a replica at ${size} hosts, without the store`, async () => {
    for (let seed = 0; seed < (size > 9 ? 2 : 8); seed++) {
      const fleet = await formed(size, seed);
      hear(fleet.hosts[seed % size]);
      await fleet.runTo(fleet.now + TOLD_MS);
      for (const host of fleet.hosts) assert.equal(openAt(host), "b");
    }
  });
}

test("rows and listings that still call it ready undo nothing", async () => {
  const fleet = await formed(9, 1);
  const { store, hosts } = fleet;
  hear(hosts[4]);
  await fleet.runTo(fleet.now + TOLD_MS);
  for (const { entry } of hosts) store.treat(entry.id, "served");
  store.list({ ...replicaEntry("a"), coldMs: 1 });
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of hosts) assert.equal(openAt(host), "b");
  // Its entry goes, and comes back.
  store.unlist("a");
  await fleet.runTo(fleet.now + RELINKED_MS);
  store.list(replicaEntry("a"));
  const added = fleet.add();
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of [...hosts, added]) assert.equal(openAt(host), "b");
});

test("hosts that were cut off hear of it when they link anew", async () => {
  const fleet = await formed(9, 2);
  const { hosts } = fleet;
  const isOut = (host: FleetHost) => host.entry.hall === "hall-1";
  fleet.cut((one, other) => isOut(one) !== isOut(other));
  await fleet.runTo(fleet.now + 2000);
  hear(hosts.find((host) => !isOut(host)));
  await fleet.runTo(fleet.now + TOLD_MS);
  fleet.cut(() => false);
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of hosts) assert.equal(openAt(host), "b");
});

test("another start of it is used", async () => {
  const fleet = await formed(9, 3);
  const { store, hosts } = fleet;
  hear(hosts[0]);
  await fleet.runTo(fleet.now + TOLD_MS);
  for (const { entry } of hosts) store.treat(entry.id, "served");
  store.list({ ...replicaEntry("a"), born: 2, incarnation: "a@2" });
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of hosts) assert.equal(openAt(host), "a@2,b");
});
