/** Tests how often a host calls the store, and when a call times out. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { Store, StorePosition } from "../../../src/gateway/mod.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import type { HallFollower } from "../../../src/gateway/state/hall_follower.ts";
import { StoreLoops } from "../../../src/gateway/state/store_loops.ts";
import type { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { neverSuspended } from "../never_suspended.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";

/**
 * The calls that a host makes in ten seconds while the store is unavailable.
 */
async function callsWhileUnavailable(reader: string): Promise<string[]> {
  const calls: string[] = [];
  const timers: { at: number; work: () => void }[] = [];
  const time = { now: 0 };
  const fail = (kind: string) => () => {
    calls.push(`${kind} ${time.now}`);
    return Promise.reject(new Error("Unavailable"));
  };
  const routes = new RouteTable();
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  routes.adopt({ version: 1, routes: [], services: [], limits });
  const loops = new StoreLoops({
    context: {
      self: { id: "self" },
      clock: {
        now: () => time.now,
        after: (delayMs: number, work: () => void) => {
          const timer = { at: time.now + delayMs, work };
          timers.push(timer);
          return () => timers.splice(timers.indexOf(timer), 1);
        },
      },
      random: () => 0,
      metrics: new Metrics(),
      events: { note: () => undefined },
      routes,
      replicas: new ReplicaTable(),
      eras: emptyStoreEras(),
      suspensions: neverSuspended(),
    } as unknown as GatewayContext,
    store: {
      readReplicas: fail("list"),
      readConfig: fail("config"),
    } as unknown as Store,
    times: { listMs: 700, timeoutMs: 700, watchMs: 1500 },
    synchronizer: {
      retainsMissing: () => true,
      hasFreshReport: () => false,
      noteStoreRead: () => undefined,
    } as unknown as Synchronizer,
    fleetSize: () => 1,
    follower: { reader } as HallFollower,
  });
  loops.start();
  for (; time.now < 10_000; time.now += 50) {
    for (const due of timers.filter((timer) => timer.at <= time.now)) {
      timers.splice(timers.indexOf(due), 1);
      due.work();
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  loops.stop();
  return calls;
}

test("while the store is unavailable the reader retries often, and followers back off", async () => {
  const reader = await callsWhileUnavailable("self");
  const follower = await callsWhileUnavailable("other");
  const listings = (calls: string[]) =>
    calls.filter((call) => call.startsWith("list")).length;
  assert.ok(listings(reader) >= 30, String(listings(reader)));
  assert.ok(listings(follower) <= 5, String(listings(follower)));
  for (const calls of [reader, follower]) {
    const others = calls.filter((call) => !call.startsWith("list"));
    assert.ok(others.length <= 1, others.join(", "));
  }
});

/**
 * Starts loops with a store whose listings take `listDurationMs`; counts its
 * calls.
 */
function startSlowStore(listDurationMs: number) {
  const timers: { at: number; work: () => void }[] = [];
  const time = { now: 0 };
  const after = (delayMs: number, work: () => void) => {
    const timer = { at: time.now + delayMs, work };
    timers.push(timer);
    return () => {
      const at = timers.indexOf(timer);
      if (at >= 0) timers.splice(at, 1);
    };
  };
  const calls = { lists: 0, watches: 0 };
  const read: string[] = [];
  const clock = { now: () => time.now, after };
  const never = (signal: AbortSignal) =>
    new Promise<never>((_resolve, reject) => {
      signal.addEventListener("abort", () => reject(new Error("Aborted")));
    });
  const loops = new StoreLoops({
    context: {
      self: { id: "self" },
      clock,
      random: () => 0,
      metrics: new Metrics(),
      events: { note: () => undefined },
      routes: new RouteTable(),
      replicas: new ReplicaTable(),
      eras: emptyStoreEras(),
      suspensions: neverSuspended(),
    } as unknown as GatewayContext,
    store: {
      readReplicas: (signal: AbortSignal) => {
        calls.lists += 1;
        return new Promise((resolve, reject) => {
          signal.addEventListener("abort", () => reject(new Error("Aborted")));
          const listing = { revision: 1, entries: [], nowMs: time.now };
          after(listDurationMs, () => resolve(listing));
        });
      },
      watchReplicas: ({ revision }: StorePosition, waitMs: number) => {
        calls.watches += 1;
        return new Promise((resolve) => {
          const changes = { revision, changed: [], gone: [] };
          after(waitMs, () => resolve({ ...changes, nowMs: time.now }));
        });
      },
      readConfig: never,
      watchConfig: (_revision: number, _waitMs: number, signal: AbortSignal) =>
        never(signal),
    } as unknown as Store,
    times: { listMs: 700, timeoutMs: 700, watchMs: 1200 },
    synchronizer: {
      retainsMissing: () => false,
      hasFreshReport: () => false,
      noteNewest: () => undefined,
      applyListing: () => read.push("listing") > 0,
      applyChanges: () => read.push("changes") > 0,
      noteStoreRead: (answered: boolean) => {
        if (!answered) read.push("lost");
      },
    } as unknown as Synchronizer,
    fleetSize: () => 1,
    follower: {
      reader: "self",
      leaveIfStale: () => undefined,
    } as unknown as HallFollower,
  });
  const run = async (until: number) => {
    for (; time.now < until; time.now += 50) {
      for (const due of timers.filter((timer) => timer.at <= time.now)) {
        timers.splice(timers.indexOf(due), 1);
        due.work();
      }
      await new Promise((resolve) => setImmediate(resolve));
    }
    loops.stop();
  };
  loops.start();
  return { run, calls, read };
}

test("a first listing may take longer than the timeout of a call", async () => {
  const { run, read } = startSlowStore(1800);
  await run(2500);
  assert.equal(read[0], "listing");
  assert.ok(!read.includes("lost"));
});

test("after the first listing only changes are requested, about once per interval", async () => {
  const { run, calls, read } = startSlowStore(50);
  await run(7500);
  assert.equal(calls.lists, 1);
  assert.ok(calls.watches >= 8 && calls.watches <= 11, String(calls.watches));
  assert.deepEqual([...new Set(read)], ["listing", "changes"]);
});
