/**
 * A replica that one host observed to be draining gets no requests from any
 * host, whatever later listings say. Runs in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { replicaEntry } from "../replica_entry.ts";
import { type FleetHost, StateFleet } from "../state/state_fleet.ts";

const FORMED_MS = 8000;
/** Maximum time for an update to reach all hosts over the tree of links. */
const PROPAGATED_MS = 300;
/** Time within which a disconnected host links again or reads the store. */
const RELINKED_MS = 3000;
const NOTICE = {
  leaving: true,
  backoff: { type: "none" },
  limit: { type: "none" },
} as const;

const openReplicasAt = ({ context: { replicas } }: FleetHost) =>
  replicas.openReplicasOf("s").map(({ entry }) => entry.incarnation).sort()
    .join();

/**
 * A formed fleet with replicas "a" and "b", after the store became unreachable.
 */
async function formedFleet(size: number, seed: number): Promise<StateFleet> {
  const fleet = new StateFleet(size, seed);
  for (const id of ["a", "b"]) fleet.store.putReplica(replicaEntry(id));
  await fleet.runTo(FORMED_MS + seed * 97);
  for (const { entry } of fleet.hosts) {
    fleet.store.setTreatment(entry.id, "silent");
  }
  await fleet.runTo(fleet.now + 500);
  return fleet;
}

function observeLeaving(host: FleetHost | undefined): void {
  host?.context.gate.observe("a", NOTICE, { sentAt: 0, request: "r" });
}

for (const size of [3, 9, 88]) {
  test(`a response at one host stops requests to a draining replica at ${size} hosts, without the store`, async () => {
    for (let seed = 0; seed < (size > 9 ? 2 : 8); seed++) {
      const fleet = await formedFleet(size, seed);
      observeLeaving(fleet.hosts[seed % size]);
      await fleet.runTo(fleet.now + PROPAGATED_MS);
      for (const host of fleet.hosts) assert.equal(openReplicasAt(host), "b");
    }
  });
}

test("rows and listings that still report a draining replica as ready change nothing", async () => {
  const fleet = await formedFleet(9, 1);
  const { store, hosts } = fleet;
  observeLeaving(hosts[4]);
  await fleet.runTo(fleet.now + PROPAGATED_MS);
  for (const { entry } of hosts) store.setTreatment(entry.id, "served");
  store.putReplica({ ...replicaEntry("a"), coldMs: 1 });
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of hosts) assert.equal(openReplicasAt(host), "b");
  // The entry is removed, then listed again.
  store.deleteReplica("a");
  await fleet.runTo(fleet.now + RELINKED_MS);
  store.putReplica(replicaEntry("a"));
  const added = fleet.add();
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of [...hosts, added]) assert.equal(openReplicasAt(host), "b");
});

test("partitioned hosts receive the report of a draining replica when they reconnect", async () => {
  const fleet = await formedFleet(9, 2);
  const { hosts } = fleet;
  const isCutOff = (host: FleetHost) => host.entry.hall === "hall-1";
  fleet.partition((from, to) => isCutOff(from) !== isCutOff(to));
  await fleet.runTo(fleet.now + 2000);
  observeLeaving(hosts.find((host) => !isCutOff(host)));
  await fleet.runTo(fleet.now + PROPAGATED_MS);
  fleet.partition(() => false);
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of hosts) assert.equal(openReplicasAt(host), "b");
});

test("a restarted replica is used although its predecessor was draining", async () => {
  const fleet = await formedFleet(9, 3);
  const { store, hosts } = fleet;
  observeLeaving(hosts[0]);
  await fleet.runTo(fleet.now + PROPAGATED_MS);
  for (const { entry } of hosts) store.setTreatment(entry.id, "served");
  store.putReplica({ ...replicaEntry("a"), born: 2, incarnation: "a@2" });
  await fleet.runTo(fleet.now + RELINKED_MS);
  for (const host of hosts) assert.equal(openReplicasAt(host), "a@2,b");
});
