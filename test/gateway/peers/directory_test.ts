/** The directory of hosts and the orders that follow from it. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { rendezvous } from "../../../src/util/rendezvous.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { HostOrders } from "../../../src/gateway/peers/host_order.ts";

function host(id: string, address = `127.0.0.1:${id.length}`): HostEntry {
  return { id, address, hall: "h" };
}

const LONG_MS = 61_000;

test("entries stay the same array while no host changes", () => {
  const directory = new HostDirectory(host("self"), []);
  directory.learn([host("a"), host("bb")], 0);
  const before = directory.entries();
  directory.learn([host("a"), host("bb")], 10);
  directory.refresh(20);
  assert.equal(directory.entries(), before);
  directory.learn([host("a", "127.0.0.1:9")], 30);
  assert.notEqual(directory.entries(), before);
  assert.equal(directory.entries()[0]?.address, "127.0.0.1:9");
});

test("hosts that nobody names, or that are told gone, are forgotten", () => {
  const directory = new HostDirectory(host("self"), []);
  directory.learn([host("a"), host("bb"), host("ccc")], 0);
  directory.forget(["bb"]);
  // Peers that a cut leaves don't say who has gone; the store does.
  directory.learn([host("a")], LONG_MS);
  assert.deepEqual(directory.entries().map((one) => one.id), ["a", "ccc"]);
  directory.learnAll([host("a")], LONG_MS);
  assert.deepEqual(directory.entries().map((one) => one.id), ["a"]);
});

test("an order is that of rendezvous hashing, also after hosts change", () => {
  const directory = new HostDirectory(host("self"), []);
  const orders = new HostOrders("self");
  for (const id of ["a", "bb", "ccc", "dddd"]) {
    directory.learn([host(id)], 0);
    const hosts = directory.entries();
    const ids = ["self", ...hosts.map((one) => one.id)];
    assert.deepEqual(orders.of("key", hosts), rendezvous("key", ids));
    assert.equal(orders.of("key", hosts), orders.of("key", hosts));
  }
});
