/** Tests the directory of hosts and the rendezvous orders derived from it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { rendezvous } from "../../../src/util/rendezvous.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { HostOrders } from "../../../src/gateway/peers/host_order.ts";

function host(id: string, address = `127.0.0.1:${id.length}`): HostEntry {
  return { id, address, hall: "h" };
}

const AFTER_TTL_MS = 61_000;

test("entries() returns the same array as long as no host changes", () => {
  const directory = new HostDirectory(host("self"), []);
  directory.add([host("a"), host("bb")], 0);
  const before = directory.entries();
  directory.add([host("a"), host("bb")], 10);
  directory.refresh(20);
  assert.equal(directory.entries(), before);
  directory.add([host("a", "127.0.0.1:9")], 30);
  assert.notEqual(directory.entries(), before);
  assert.equal(directory.entries()[0]?.address, "127.0.0.1:9");
});

test("hosts are removed when a peer reports them as expired, or when the store no longer lists them", () => {
  const directory = new HostDirectory(host("self"), []);
  directory.add([host("a"), host("bb"), host("ccc")], 0);
  directory.remove(["bb"]);
  // Only the store's list removes expired hosts, not that of a peer.
  directory.add([host("a")], AFTER_TTL_MS);
  assert.deepEqual(directory.entries().map((entry) => entry.id), ["a", "ccc"]);
  directory.addFromStore([host("a")], AFTER_TTL_MS);
  assert.deepEqual(directory.entries().map((entry) => entry.id), ["a"]);
});

test("orders match rendezvous hashing, also after hosts change", () => {
  const directory = new HostDirectory(host("self"), []);
  const orders = new HostOrders({ id: "self" });
  for (const id of ["a", "bb", "ccc", "dddd"]) {
    directory.add([host(id)], 0);
    const hosts = directory.entries();
    const ids = ["self", ...hosts.map((entry) => entry.id)];
    assert.deepEqual(orders.of("key", hosts), rendezvous("key", ids));
    assert.equal(orders.of("key", hosts), orders.of("key", hosts));
  }
});
