/**
 * Tests which store state a host applies, and how old it considers the state.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { ReplicaEntry, RouteConfig } from "../../../src/gateway/mod.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { positionOf } from "../../../src/gateway/position.ts";
import { emptyCrashWatch } from "../crashes/empty_crash_watch.ts";
import { replicaEntry } from "../replica_entry.ts";
import type { VersionAnnouncement } from "../../../src/gateway/state/config_catchup.ts";
import type { ReaderReport } from "../../../src/gateway/state/hall_follower.ts";
import type { StateMessage } from "../../../src/gateway/state/state_messages.ts";
import { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";

const REPLICA = replicaEntry("a");

function start(hasFollowers = false) {
  const time = { now: 0 };
  const changedAt: number[] = [];
  const announced: VersionAnnouncement[] = [];
  const replicas = new ReplicaTable();
  const routes = new RouteTable();
  const context = {
    eras: emptyStoreEras(),
    clock: { now: () => time.now },
    replicas,
    routes,
    events: { note: () => undefined },
    pool: { removeReplica: () => undefined },
    crashes: emptyCrashWatch(),
  } as unknown as GatewayContext;
  const synchronizer = new Synchronizer({
    context,
    onConfig: () => undefined,
    onChange: () => changedAt.push(time.now),
    onVersionAnnounced: (announcement) => announced.push(announcement),
    onDraining: () => undefined,
    hasFollowers: () => hasFollowers,
  });
  const read = (revision: number, entries: readonly ReplicaEntry[]) => {
    const applied = synchronizer.applyListing({ revision, entries }, "store");
    synchronizer.noteStoreRead(applied, time.now);
  };
  return { time, replicas, routes, synchronizer, read, changedAt, announced };
}

/** A reader's report that does not include the configuration's age. */
function reportOf(message: StateMessage): ReaderReport {
  const unknown = { configAsOf: undefined, listedAsOf: undefined };
  return { reader: "reader", address: "address", message, ...unknown };
}

test("a replica missing from a listing right after an outage is retained for a while", () => {
  const { time, replicas, synchronizer, read } = start();
  read(1, [REPLICA]);
  time.now = 1000;
  synchronizer.noteStoreRead(false, time.now);
  time.now = 2000;
  read(2, []);
  assert.equal(replicas.openReplicasOf("s").length, 1);
  time.now = 3000;
  read(3, []);
  assert.equal(replicas.openReplicasOf("s").length, 1);
  time.now = 4100;
  read(4, []);
  assert.equal(replicas.openReplicasOf("s").length, 0);
});

test("a replica missing from a listing while the store responds is removed at once", () => {
  const { time, replicas, read } = start();
  read(1, [REPLICA]);
  time.now = 700;
  read(2, []);
  assert.equal(replicas.openReplicasOf("s").length, 0);
});

test("the store state is as old as the reader reports", () => {
  const { time, synchronizer } = start();
  time.now = 10_000;
  const message = { type: "state", version: 0 } as const;
  synchronizer.applyReport(reportOf({ ...message, ageMs: 400 }));
  assert.equal(synchronizer.storeAgeMs(10_000), 400);
  assert.equal(synchronizer.hasFreshReport(10_500), true);
  assert.equal(synchronizer.hasFreshReport(11_000), false);
});

test("a relay reads the store before its followers would", () => {
  const { time, synchronizer } = start(true);
  time.now = 10_000;
  const message = { type: "state", version: 0, ageMs: 0 } as const;
  synchronizer.applyReport(reportOf(message));
  assert.equal(synchronizer.hasFreshReport(10_999), true);
  assert.equal(synchronizer.hasFreshReport(11_000), false);
});

test("a newer report is forwarded at once, an older one is not", () => {
  const { time, synchronizer, changedAt } = start();
  time.now = 10_000;
  const message = { type: "state", version: 0 } as const;
  synchronizer.applyReport(reportOf({ ...message, ageMs: 100 }));
  time.now = 10_300;
  synchronizer.applyReport(reportOf({ ...message, ageMs: 400 }));
  time.now = 10_700;
  synchronizer.applyReport(reportOf({ ...message, ageMs: 50 }));
  assert.deepEqual(changedAt, [10_000, 10_700]);
});

test("a report without an age is not fresh", () => {
  const { time, synchronizer } = start();
  time.now = 10_000;
  synchronizer.applyReport(reportOf({ type: "state", version: 0 }));
  assert.equal(synchronizer.hasFreshReport(10_000), false);
  assert.equal(synchronizer.storeAgeMs(10_000), Infinity);
});

test("an announced version is forwarded at once, and fetched until this host has it", () => {
  const { synchronizer, routes, announced, changedAt } = start();
  const message = { type: "state", version: 3 } as const;
  synchronizer.applyReport(reportOf(message));
  assert.deepEqual(announced, [{ version: 3, holder: "address" }]);
  assert.equal(routes.newestVersion, 3);
  assert.equal(changedAt.length, 1);
  synchronizer.applyReport(reportOf(message));
  assert.equal(announced.length, 2);
  assert.equal(changedAt.length, 1);
  synchronizer.applyConfig(configOf(3), "store");
  synchronizer.applyReport(reportOf(message));
  assert.equal(announced.length, 2);
});

test("a reader that lacks an announced version is not named as its holder", () => {
  const { synchronizer, routes, announced } = start();
  synchronizer.applyReport(reportOf({ type: "state", version: 3, newest: 5 }));
  assert.deepEqual(announced, [{ version: 5 }]);
  assert.equal(routes.newestVersion, 5);
});

test("a host that retains missing replicas reports no age to its followers", () => {
  const { time, synchronizer, read } = start();
  read(1, [REPLICA]);
  assert.equal(synchronizer.reportableAgeMs(100), 100);
  time.now = 1000;
  synchronizer.noteStoreRead(false, time.now);
  assert.equal(synchronizer.reportableAgeMs(1000), Infinity);
  time.now = 2000;
  read(2, []);
  assert.equal(synchronizer.reportableAgeMs(2500), Infinity);
  time.now = 4100;
  read(3, []);
  assert.equal(synchronizer.reportableAgeMs(4200), 100);
});

const LIMITS = { bodyBytes: 1, headerMs: 1, idleMs: 1 };

function configOf(version: number): RouteConfig {
  return { version, routes: [], services: [], limits: LIMITS };
}

test("the age of the configuration counts from the start of the call to the store", () => {
  const { synchronizer } = start();
  assert.equal(synchronizer.configAgeMs(100), Infinity);
  synchronizer.applyConfig(configOf(1), "store");
  synchronizer.noteNewest(1, 100);
  assert.equal(synchronizer.configAgeMs(600), 500);
  // A late report of an earlier time changes nothing.
  synchronizer.noteNewest(1, 50);
  assert.equal(synchronizer.configAgeMs(600), 500);
});

test("a report about a version that this host lacks does not renew the configuration's age", () => {
  const { time, synchronizer } = start();
  synchronizer.applyConfig(configOf(1), "store");
  synchronizer.noteNewest(1, 100);
  time.now = 1000;
  const message = { type: "state", version: 2 } as const;
  synchronizer.applyReport({ ...reportOf(message), configAsOf: 990 });
  assert.equal(synchronizer.configAgeMs(1000), 900);
  const newer = { ...message, config: configOf(2) };
  synchronizer.applyReport({ ...reportOf(newer), configAsOf: 990 });
  assert.equal(synchronizer.configAgeMs(1000), 10);
});

test("a report of an earlier era is not fresh", () => {
  const { time, synchronizer, routes } = start();
  time.now = 10_000;
  const message = { type: "state", version: 1, ageMs: 0 } as const;
  synchronizer.applyReport(reportOf({ ...message, era: 2 }));
  assert.equal(synchronizer.hasFreshReport(10_500), true);
  time.now = 11_000;
  // Nor is a report without an era; its configuration is applied all the same.
  for (const era of [{ era: 1 }, {}]) {
    synchronizer.applyReport(
      reportOf({ ...message, ...era, config: configOf(3) }),
    );
    assert.equal(synchronizer.storeAgeMs(11_000), 1000);
  }
  assert.equal(routes.version, 3);
});

test("a late listing of an earlier era is not applied", () => {
  const { synchronizer, replicas, time } = start();
  const listing = (era: number, revision: number, id: string) => ({
    revision: positionOf(era, revision),
    entries: [replicaEntry(id)],
  });
  assert.ok(synchronizer.applyListing(listing(1, 30, "a"), "store"));
  time.now = 5000;
  const message = { type: "state", version: 0, era: 2 } as const;
  synchronizer.applyReport(reportOf({ ...message, ageMs: 0 }));
  assert.equal(synchronizer.applyListing(listing(1, 31, "b"), "peer"), false);
  assert.deepEqual(
    replicas.openReplicasOf("s").map((replica) => replica.entry.id),
    [
      "a",
    ],
  );
  assert.ok(synchronizer.applyListing(listing(2, 7, "c"), "store"));
});

// Guards against a listing that looks new since its report waited in a socket.
test("a report that waited for a host doesn't make its listing recent", () => {
  const { time, synchronizer } = start();
  time.now = 10_000;
  const report = reportOf({ type: "state", version: 1, ageMs: 300 });
  synchronizer.applyReport({ ...report, listedAsOf: 2000 });
  assert.equal(synchronizer.listingAgeMs(time.now), 8000);
  synchronizer.applyReport(report);
  assert.equal(synchronizer.listingAgeMs(time.now), 8000);
});
