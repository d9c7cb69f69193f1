/** The hosts of a hall agree on who reads the store for them. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { HostOrders } from "../../../src/gateway/peers/host_order.ts";
import { chooseReader } from "../../../src/gateway/state/reader_choice.ts";

const HOSTS: HostEntry[] = ["a", "b", "c", "d", "e", "f"].map((id, at) => ({
  id,
  address: `127.0.0.1:${at + 1}`,
  hall: at < 3 ? "north" : "south",
}));

function readerOf(self: HostEntry, suspects: readonly string[] = []): string {
  const others = HOSTS.filter((one) => one !== self);
  return chooseReader({
    self,
    hosts: others,
    orders: new HostOrders(self.id),
    isSuspect: (id) => suspects.includes(id),
  });
}

test("all hosts of a hall choose the same reader, one of their own", () => {
  for (const hall of ["north", "south"]) {
    const own = HOSTS.filter((one) => one.hall === hall);
    const readers = new Set(own.map((one) => readerOf(one)));
    assert.equal(readers.size, 1);
    assert.ok(own.some((one) => readers.has(one.id)));
  }
});

test("a suspect is not followed, and the last one reads for itself", () => {
  const [self] = HOSTS;
  assert.ok(self);
  const first = readerOf(self);
  assert.notEqual(readerOf(self, [first]), first === self.id ? "" : first);
  assert.equal(readerOf(self, ["b", "c"]), self.id);
});
