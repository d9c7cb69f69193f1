/** What a host believes of the store, and how old it takes that to be. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { ReplicaEntry, RouteConfig } from "../../../src/gateway/mod.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { positionOf } from "../../../src/gateway/position.ts";
import { quietWatch } from "../crashes/quiet_watch.ts";
import { replicaEntry } from "../replica_entry.ts";
import type { VersionNews } from "../../../src/gateway/state/config_catchup.ts";
import type { ReaderWord } from "../../../src/gateway/state/hall_follower.ts";
import type { StateMessage } from "../../../src/gateway/state/state_messages.ts";
import { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { quietEras } from "../quiet_eras.ts";

const REPLICA = replicaEntry("a");

function start(isRelay = false) {
  const time = { now: 0 };
  const told: number[] = [];
  const news: VersionNews[] = [];
  const replicas = new ReplicaTable();
  const routes = new RouteTable();
  const context = {
    eras: quietEras(),
    clock: { now: () => time.now },
    replicas,
    routes,
    events: { note: () => undefined },
    pool: { forget: () => undefined },
    crashes: quietWatch(),
  } as unknown as GatewayContext;
  const synchronizer = new Synchronizer({
    context,
    onConfig: () => undefined,
    onChange: () => told.push(time.now),
    onNews: (one) => news.push(one),
    onLeaving: () => undefined,
    isRelay: () => isRelay,
  });
  const read = (revision: number, entries: readonly ReplicaEntry[]) => {
    const taken = synchronizer.takeListing({ revision, entries }, "store");
    synchronizer.noteStore(taken, time.now);
  };
  return { time, replicas, routes, synchronizer, read, told, news };
}

/** A reader's word that says nothing of the configuration's age. */
function wordOf(message: StateMessage): ReaderWord {
  const configAsOf = undefined;
  return { reader: "reader", address: "address", message, configAsOf };
}

test("a replica missing right after the store was away is kept a while", () => {
  const { time, replicas, synchronizer, read } = start();
  read(1, [REPLICA]);
  time.now = 1000;
  synchronizer.noteStore(false, time.now);
  time.now = 2000;
  read(2, []);
  assert.equal(replicas.openOf("s").length, 1);
  time.now = 3000;
  read(3, []);
  assert.equal(replicas.openOf("s").length, 1);
  time.now = 4100;
  read(4, []);
  assert.equal(replicas.openOf("s").length, 0);
});

test("a replica missing while the store answers is gone at once", () => {
  const { time, replicas, read } = start();
  read(1, [REPLICA]);
  time.now = 700;
  read(2, []);
  assert.equal(replicas.openOf("s").length, 0);
});

test("a reader's word is as old as the reader says, and so is ours", () => {
  const { time, synchronizer } = start();
  time.now = 10_000;
  const word = { type: "state", version: 0 } as const;
  synchronizer.takeState(wordOf({ ...word, ageMs: 400 }));
  assert.equal(synchronizer.storeAgeMs(10_000), 400);
  assert.equal(synchronizer.isTold(10_500), true);
  assert.equal(synchronizer.isTold(11_000), false);
});

test("a relay reads for itself before its followers would", () => {
  const { time, synchronizer } = start(true);
  time.now = 10_000;
  const word = { type: "state", version: 0, ageMs: 0 } as const;
  synchronizer.takeState(wordOf(word));
  assert.equal(synchronizer.isTold(10_999), true);
  assert.equal(synchronizer.isTold(11_000), false);
});

test("each newer word of the store is told on at once, an older one is not", () => {
  const { time, synchronizer, told } = start();
  time.now = 10_000;
  const word = { type: "state", version: 0 } as const;
  synchronizer.takeState(wordOf({ ...word, ageMs: 100 }));
  time.now = 10_300;
  synchronizer.takeState(wordOf({ ...word, ageMs: 400 }));
  time.now = 10_700;
  synchronizer.takeState(wordOf({ ...word, ageMs: 50 }));
  assert.deepEqual(told, [10_000, 10_700]);
});

test("a reader that heard nothing of the store tells nothing fresh", () => {
  const { time, synchronizer } = start();
  time.now = 10_000;
  synchronizer.takeState(wordOf({ type: "state", version: 0 }));
  assert.equal(synchronizer.isTold(10_000), false);
  assert.equal(synchronizer.storeAgeMs(10_000), Infinity);
});

test("a version that is heard of is told on at once, and fetched until it is held", () => {
  const { synchronizer, routes, news, told } = start();
  const word = { type: "state", version: 3 } as const;
  synchronizer.takeState(wordOf(word));
  assert.deepEqual(news, [{ version: 3, holder: "address" }]);
  assert.equal(routes.newestVersion, 3);
  assert.equal(told.length, 1);
  synchronizer.takeState(wordOf(word));
  assert.equal(news.length, 2);
  assert.equal(told.length, 1);
  synchronizer.takeConfig(configOf(3), "store");
  synchronizer.takeState(wordOf(word));
  assert.equal(news.length, 2);
});

test("a reader that heard of a version and lacks it is not named as its holder", () => {
  const { synchronizer, routes, news } = start();
  synchronizer.takeState(wordOf({ type: "state", version: 3, newest: 5 }));
  assert.deepEqual(news, [{ version: 5 }]);
  assert.equal(routes.newestVersion, 5);
});

test("a host that keeps missing replicas has nothing to tell its followers", () => {
  const { time, synchronizer, read } = start();
  read(1, [REPLICA]);
  assert.equal(synchronizer.tellableAgeMs(100), 100);
  time.now = 1000;
  synchronizer.noteStore(false, time.now);
  assert.equal(synchronizer.tellableAgeMs(1000), Infinity);
  time.now = 2000;
  read(2, []);
  assert.equal(synchronizer.tellableAgeMs(2500), Infinity);
  time.now = 4100;
  read(3, []);
  assert.equal(synchronizer.tellableAgeMs(4200), 100);
});

const LIMITS = { bodyBytes: 1, headerMs: 1, idleMs: 1 };

function configOf(version: number): RouteConfig {
  return { version, routes: [], services: [], limits: LIMITS };
}

test("the configuration is as old as the moment at which the store was asked", () => {
  const { synchronizer } = start();
  assert.equal(synchronizer.configAgeMs(100), Infinity);
  synchronizer.takeConfig(configOf(1), "store");
  synchronizer.noteNewest(1, 100);
  assert.equal(synchronizer.configAgeMs(600), 500);
  // A word that comes late says nothing newer.
  synchronizer.noteNewest(1, 50);
  assert.equal(synchronizer.configAgeMs(600), 500);
});

test("a version that is heard of and not held makes no word fresh", () => {
  const { time, synchronizer } = start();
  synchronizer.takeConfig(configOf(1), "store");
  synchronizer.noteNewest(1, 100);
  time.now = 1000;
  const message = { type: "state", version: 2 } as const;
  synchronizer.takeState({ ...wordOf(message), configAsOf: 990 });
  assert.equal(synchronizer.configAgeMs(1000), 900);
  const newer = { ...message, config: configOf(2) };
  synchronizer.takeState({ ...wordOf(newer), configAsOf: 990 });
  assert.equal(synchronizer.configAgeMs(1000), 10);
});

test("a reader's word of an earlier era of the store is no fresh word", () => {
  const { time, synchronizer, routes } = start();
  time.now = 10_000;
  const word = { type: "state", version: 1, ageMs: 0 } as const;
  synchronizer.takeState(wordOf({ ...word, era: 2 }));
  assert.equal(synchronizer.isTold(10_500), true);
  time.now = 11_000;
  // Nor is that of a reader that knows of no eras; its version counts all the same.
  for (const era of [{ era: 1 }, {}]) {
    synchronizer.takeState(wordOf({ ...word, ...era, config: configOf(3) }));
    assert.equal(synchronizer.storeAgeMs(11_000), 1000);
  }
  assert.equal(routes.version, 3);
});

test("a listing of an earlier era that comes late is not taken", () => {
  const { synchronizer, replicas, time } = start();
  const listing = (era: number, revision: number, id: string) => ({
    revision: positionOf(era, revision),
    entries: [replicaEntry(id)],
  });
  assert.ok(synchronizer.takeListing(listing(1, 30, "a"), "store"));
  time.now = 5000;
  const told = { type: "state", version: 0, era: 2 } as const;
  synchronizer.takeState(wordOf({ ...told, ageMs: 0 }));
  assert.equal(synchronizer.takeListing(listing(1, 31, "b"), "peer"), false);
  assert.deepEqual(replicas.openOf("s").map((one) => one.entry.id), ["a"]);
  assert.ok(synchronizer.takeListing(listing(2, 7, "c"), "store"));
});
