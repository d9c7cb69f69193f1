/** Tests which hosts get duties such as planning when their sizes differ. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { hostEntryOf } from "../../../src/gateway/host_entry.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import {
  capacityWeight,
  HostOrders,
} from "../../../src/gateway/peers/host_order.ts";
import { checkSettings, GatewaySchema } from "../../../src/settings/mod.ts";
import {
  rendezvous,
  weightedRendezvous,
} from "../../../src/util/rendezvous.ts";

const KEYS = Array.from({ length: 2000 }, (_, at) => `service-${at}`);

test("equal weights give the order without weights", () => {
  const ids = ["a", "b", "c", "d", "e"];
  for (const weight of [0.1, 1, 7]) {
    const candidates = ids.map((id) => ({ id, weight }));
    for (const key of KEYS.slice(0, 200)) {
      assert.deepEqual(
        weightedRendezvous(key, candidates),
        rendezvous(key, ids),
      );
    }
  }
});

test("each candidate comes first in proportion to its weight", () => {
  const candidates = [{ id: "a", weight: 1 }, { id: "b", weight: 3 }];
  const first = KEYS.filter((key) =>
    weightedRendezvous(key, candidates)[0] === "b"
  );
  const share = first.length / KEYS.length;
  assert.ok(share > 0.71 && share < 0.79, String(share));
});

test("a candidate that grows takes keys, and moves no others", () => {
  const others = [{ id: "b", weight: 1 }, { id: "c", weight: 2 }];
  for (const key of KEYS) {
    const before = weightedRendezvous(key, [{ id: "a", weight: 1 }, ...others]);
    const after = weightedRendezvous(key, [{ id: "a", weight: 4 }, ...others]);
    if (before[0] !== after[0]) assert.equal(after[0], "a");
  }
});

test("few services are planned by small hosts", () => {
  const small = Array.from({ length: 54 }, (_, at) => ({
    id: `small-${at}`,
    address: `10.0.0.${at}:1`,
    hall: "h",
    capacity: 0.24,
  }));
  const large = Array.from({ length: 26 }, (_, at) => ({
    id: `large-${at}`,
    address: `10.0.1.${at}:1`,
    hall: "h",
    capacity: at < 20 ? 0.8 : 1.35,
  }));
  const [self, ...others] = [...small, ...large];
  assert.ok(self);
  const orders = new HostOrders(self, capacityWeight);
  const bySmall = KEYS.filter((key) =>
    orders.of(key, others)[0]?.startsWith("small")
  );
  const share = bySmall.length / KEYS.length;
  // 3.1 of 27.0 by squared capacities; 54 of 80 hosts.
  assert.ok(share > 0.09 && share < 0.14, String(share));
});

test("a host's new capacity replaces the known one", () => {
  const self = { id: "self", address: "10.0.0.1:1", hall: "h" };
  const host = { id: "a", address: "10.0.0.2:1", hall: "h" };
  const directory = new HostDirectory(self, []);
  directory.add([host], 0);
  directory.add([{ ...host, capacity: 2 }], 1);
  assert.equal(directory.get("a")?.capacity, 2);
});

test("the capacity is the processor time, or what the link allows for", () => {
  const capacityOf = (host: string) => {
    const text = `
[host]
id = "a"
hall = "h"
${host}
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
peers = "127.0.0.1:3"
[store]
address = "127.0.0.1:4"
`;
    const settings = checkSettings("test", text, GatewaySchema).unwrap();
    return hostEntryOf(settings).capacity;
  };
  assert.equal(capacityOf(""), undefined);
  assert.equal(capacityOf("cpu_cores = 2\ncpu_share = 0.5"), 1);
  assert.equal(capacityOf("cpu_cores = 2\nlink_mbps = 5"), 0.5);
  assert.equal(capacityOf("cpu_cores = 2\nlink_mbps = 1000"), 2);
});
