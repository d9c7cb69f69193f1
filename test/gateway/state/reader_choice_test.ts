/** Tests that all hosts agree on who reads the store and who relays. */
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
  const hosts = HOSTS.filter((host) => host !== self);
  return chooseReader({
    self,
    hosts,
    orders: new HostOrders(self),
    isSuspect: (id) => suspects.includes(id),
  });
}

test("one host of the fleet reads the store, and one host of each other hall relays", () => {
  const readers = new Map(HOSTS.map((host) => [host.id, readerOf(host)]));
  const reading = HOSTS.filter((host) => readers.get(host.id) === host.id);
  assert.equal(reading.length, 1);
  for (const hall of ["north", "south"]) {
    const members = HOSTS.filter((host) => host.hall === hall);
    const ids = new Set(members.map((host) => host.id));
    const relays = members.filter((host) =>
      readers.get(host.id) === host.id || !ids.has(readers.get(host.id) ?? "")
    );
    assert.equal(relays.length, 1);
    const followed = members.filter((host) => !relays.includes(host))
      .map((host) => readers.get(host.id));
    assert.deepEqual(new Set(followed), new Set([relays[0]?.id]));
  }
});

test("a suspect is not followed, and a host whose peers are all suspects reads the store itself", () => {
  const [self] = HOSTS;
  assert.ok(self);
  const first = readerOf(self);
  assert.notEqual(readerOf(self, [first]), first === self.id ? "" : first);
  const others = HOSTS.map((host) => host.id).filter((id) => id !== self.id);
  assert.equal(readerOf(self, others), self.id);
});

test("a relay does not follow hosts of a hall with an unreachable host", () => {
  const self = HOSTS.find((host) => {
    const reader = HOSTS.find(({ id }) => id === readerOf(host));
    return reader !== undefined && reader.hall !== host.hall;
  });
  assert.ok(self);
  const reader = readerOf(self);
  // The only other hall has a suspect, so that none of its hosts is chosen.
  assert.equal(readerOf(self, [reader]), self.id);
});

test("the hosts of a large hall form a tree, also without suspects", () => {
  const hosts: HostEntry[] = Array.from({ length: 110 }, (_, at) => ({
    id: `h${at}`,
    address: `127.0.0.1:${at + 1}`,
    hall: "hall",
  }));
  const readersWithout = (suspects: readonly string[]) =>
    new Map(hosts.map((self) => [
      self.id,
      chooseReader({
        self,
        hosts: hosts.filter((host) => host !== self),
        orders: new HostOrders(self),
        isSuspect: (id) => suspects.includes(id),
      }),
    ]));
  const followersIn = (readers: ReadonlyMap<string, string>) => {
    const counts = new Map<string, number>();
    for (const [id, reader] of readers) {
      if (id !== reader) counts.set(reader, (counts.get(reader) ?? 0) + 1);
    }
    return counts;
  };
  const distanceIn = (readers: ReadonlyMap<string, string>, from: string) => {
    let [id, distance] = [from, 0];
    for (; readers.get(id) !== id; distance++) {
      id = readers.get(id) ?? id;
      assert.ok(distance < hosts.length, "a cycle");
    }
    return distance;
  };
  const all = readersWithout([]);
  assert.equal(Math.max(...followersIn(all).values()), 10);
  for (const { id } of hosts) assert.ok(distanceIn(all, id) <= 2, id);
  const [relay] = [...all].find(([id, reader]) => id === reader) ?? [];
  const above = [...followersIn(all).keys()].find((id) => id !== relay);
  assert.ok(relay && above);
  for (const suspects of [[above], [relay], [relay, above]]) {
    const left = readersWithout(suspects);
    for (const { id } of hosts) {
      if (suspects.includes(id)) continue;
      assert.ok(!suspects.includes(left.get(id) ?? ""), id);
      assert.ok(distanceIn(left, id) <= 3, id);
    }
  }
});
