/**
 * Tests which hosts write rows for host discovery, and which hosts the rows
 * list.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type {
  HostEntry,
  RowReading,
  RowWrite,
  Store,
} from "../../../src/gateway/mod.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import {
  exchangeRows,
  liveHosts,
  readHosts,
} from "../../../src/gateway/peers/host_rows.ts";
import type { PeerClient } from "../../../src/gateway/peers/peer_client.ts";
import { startPeerLoops } from "../../../src/gateway/peers/peer_loop.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { emptyCrashWatch } from "../crashes/empty_crash_watch.ts";
import { knownRed } from "../../known_red.ts";
import { deepText, ODD_ADDRESSES } from "../../platform/odd_rows.ts";
import type { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { neverSuspended } from "../never_suspended.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { singleHostStreams } from "../streams/single_host_streams.ts";

function host(id: string, address = "127.0.0.1:1"): HostEntry {
  return { id, address, hall: "h" };
}

function reading(
  rows: readonly { hosts: readonly HostEntry[]; writtenMs: number }[],
  nowMs: number,
): RowReading {
  return {
    nowMs,
    rows: rows.map((row, index) => ({
      key: String(index),
      value: JSON.stringify(row),
      revision: index,
    })),
  };
}

test("rows that have not expired list the hosts, and the newest entry of a host wins", () => {
  const moved = host("b", "127.0.0.1:2");
  const rows = [
    { hosts: [host("a"), moved], writtenMs: 50_000 },
    { hosts: [host("b")], writtenMs: 40_000 },
    { hosts: [host("gone")], writtenMs: 1000 },
  ];
  assert.deepEqual(liveHosts(reading(rows, 61_000)), [moved, host("a")]);
});

/** Runs the loops of one host with a fake store, in virtual time. */
function startHost(
  known: readonly HostEntry[],
  followers: (now: number) => readonly HostEntry[],
  isListedByReader: (now: number) => boolean,
) {
  const time = { now: 0 };
  const timers: { at: number; work: () => void }[] = [];
  const writes: { at: number; ids: string[] }[] = [];
  const rows = known.length > 0 ? [{ hosts: known, writtenMs: 0 }] : [];
  const self = host("self");
  const store = {
    readRows: () => Promise.resolve(reading(rows, time.now)),
    writeRow: ({ value }: RowWrite) => {
      const row = JSON.parse(value) as { hosts: HostEntry[] };
      writes.push({ at: time.now, ids: row.hosts.map((entry) => entry.id) });
      return Promise.resolve({ type: "written", revision: 1, nowMs: 0 });
    },
  } as unknown as Store;
  startPeerLoops({
    context: {
      clock: {
        now: () => time.now,
        after: (delayMs: number, work: () => void) => {
          const timer = { at: time.now + delayMs, work };
          timers.push(timer);
          return () => {
            if (timers.includes(timer)) timers.splice(timers.indexOf(timer), 1);
          };
        },
      },
      random: () => 0,
      routes: new RouteTable(),
      crashes: emptyCrashWatch(),
      streams: singleHostStreams(),
      eras: emptyStoreEras(),
      suspensions: neverSuspended(),
    } as unknown as GatewayContext,
    self,
    store,
    peerClient: {} as PeerClient,
    directory: new HostDirectory(self, []),
    synchronizer: {
      hasFreshReport: () => true,
      freshForMs: () => 1300,
      storeAgeMs: () => 0,
      isBehind: () => false,
    } as unknown as Synchronizer,
    followers: () => followers(time.now),
    isListedByReader: () => isListedByReader(time.now),
  });
  const run = async (untilMs: number) => {
    for (; time.now < untilMs; time.now += 100) {
      await new Promise((resolve) => setImmediate(resolve));
      for (const due of timers.filter((timer) => timer.at <= time.now)) {
        timers.splice(timers.indexOf(due), 1);
        due.work();
      }
      await new Promise((resolve) => setImmediate(resolve));
    }
  };
  return { run, writes };
}

test("a host without others writes its row at once and then periodically", async () => {
  const { run, writes } = startHost([], () => [], () => false);
  await run(45_000);
  assert.equal(writes[0]?.at, 0);
  assert.equal(writes.length, 3);
});

test("a host that its reader lists writes no row", async () => {
  const { run, writes } = startHost(
    [host("reader")],
    () => [],
    (now) => now > 500,
  );
  await run(60_000);
  assert.deepEqual(writes, []);
});

test("a row lists the followers, within a second of a change", async () => {
  const followers = (now: number) => now < 5000 ? [] : [host("b"), host("c")];
  const { run, writes } = startHost([], followers, () => false);
  await run(8000);
  assert.deepEqual(writes.map((write) => write.ids), [
    ["self"],
    ["self", "b", "c"],
  ]);
  assert.ok((writes[1]?.at ?? 0) <= 6200);
});

test("a host whose reader no longer lists it writes its own row", async () => {
  const { run, writes } = startHost(
    [host("reader")],
    () => [],
    (now) => now > 500 && now < 10_000,
  );
  await run(13_000);
  assert.equal(writes.length, 1);
  assert.ok((writes[0]?.at ?? 0) >= 10_000);
});

test("an era is settled if a row has it, or if there are no rows", async () => {
  const { nowMs } = reading([], 10_000);
  const settledEra = async (rows: readonly object[]) => {
    const values = rows.map((row, index) => ({
      key: String(index),
      value: JSON.stringify({ hosts: [host("a")], ...row }),
      revision: index,
    }));
    const response = { rows: values, nowMs, era: 2 };
    const store = { readRows: () => Promise.resolve(response) };
    const read = await readHosts({
      store: store as unknown as Store,
      now: () => 0,
      signal: new AbortController().signal,
    });
    return read.settledEra;
  };
  assert.equal(await settledEra([]), 2);
  assert.equal(await settledEra([{ writtenMs: 9000, era: 1 }]), undefined);
  assert.equal(await settledEra([{ writtenMs: 9000 }]), undefined);
  // Rows of an earlier era are expired by a restored store's clock, but exist.
  const ofEarlierEra = [{ writtenMs: 500_000, era: 1 }];
  assert.equal(await settledEra(ofEarlierEra), undefined);
  const rows = [{ writtenMs: 9000, era: 1 }, { writtenMs: 9500, era: 2 }];
  assert.equal(await settledEra(rows), 2);
});

test("a row from the future by the store's clock expires after the same time", () => {
  const ahead = (writtenMs: number) =>
    liveHosts(reading([{ hosts: [host("a")], writtenMs }], 1000)).length;
  assert.equal(ahead(5000), 1);
  assert.equal(ahead(62_000), 0);
});

/** Reads the hosts of one row, given as JSON text. */
async function hostsOf(text: string): Promise<readonly HostEntry[]> {
  const rows = [{ key: "a", value: text, revision: 1 }];
  const read: RowReading = { nowMs: 1000, rows };
  const store = { readRows: () => Promise.resolve(read) } as unknown as Store;
  const signal = new AbortController().signal;
  return (await readHosts({ store, now: () => 0, signal })).hosts;
}

// Guards against hosts that don't find each other while a row of a replica
// names a service that no other row can.
const NAMES = "a row with overlong names of services lists its hosts";
test(NAMES, knownRed(NAMES), async () => {
  let written = "";
  const store = {
    readRows: () => Promise.resolve({ nowMs: 1000, rows: [] }),
    writeRow: ({ value }: RowWrite) => {
      written = value;
      return Promise.resolve({ type: "written", revision: 1, nowMs: 1000 });
    },
  } as unknown as Store;
  const signal = new AbortController().signal;
  const reported = (service: string) => ({
    service,
    softwareVersion: "v1",
    isListed: true,
    seenAgoMs: 0,
  });
  await exchangeRows({ store, now: () => 0, signal }, () => ({
    writer: "a",
    hosts: [host("a")],
    crashes: { records: [], clearances: [] },
    versions: {
      isCovered: true,
      versions: [reported("plain"), reported("s".repeat(1001))],
    },
  }));
  assert.deepEqual(await hostsOf(written), [host("a")]);
});

const PARTS = "odd parts of a row don't hide its hosts";
test(PARTS, knownRed(PARTS), async () => {
  const hosts = JSON.stringify([host("a")]);
  for (const odd of ["null", "1e400", "{}", "[]", '"x"', deepText()]) {
    for (const field of ["crashes", "versions", "era", "other"]) {
      const text = `{"hosts":${hosts},"writtenMs":1000,"${field}":${odd}}`;
      const name = `${field} ${odd.slice(0, 100)}`;
      assert.deepEqual(await hostsOf(text), [host("a")], name);
    }
  }
});

const ENTRIES = "an odd host in a row doesn't hide the others";
test(ENTRIES, knownRed(ENTRIES), async () => {
  const sound = JSON.stringify(host("a"));
  const odd = [
    ...ODD_ADDRESSES.map((address) => JSON.stringify(host("b", address))),
    ...["0", "-1", "1e400", "1e300", "null"].map((capacity) =>
      `{"id":"b","address":"127.0.0.1:1","hall":"h","capacity":${capacity}}`
    ),
    JSON.stringify({ ...host("b"), id: "" }),
    JSON.stringify({ ...host("b"), id: "b\nc" }),
    JSON.stringify({ ...host("b"), id: "b".repeat(300_000) }),
    JSON.stringify({ ...host("b"), hall: "h".repeat(300_000) }),
    deepText(),
    "null",
  ];
  for (const text of odd) {
    const row = `{"hosts":[${text},${sound}],"writtenMs":1000}`;
    assert.deepEqual(await hostsOf(row), [host("a")], text.slice(0, 100));
  }
});
