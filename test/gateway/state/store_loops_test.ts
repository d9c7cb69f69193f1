/** A follower reads configurations that it hears of, but not each at once. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { Store } from "../../../src/gateway/mod.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import type { HallFollower } from "../../../src/gateway/state/hall_follower.ts";
import { StoreLoops } from "../../../src/gateway/state/store_loops.ts";
import type { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";

test("of newer configurations in quick succession some reads are skipped", async () => {
  const time = { now: 0 };
  const adopted: number[] = [];
  const written = { version: 1 };
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  const context = {
    clock: { now: () => time.now, after: () => () => undefined },
    metrics: new Metrics(),
  } as unknown as GatewayContext;
  const readConfig = () => {
    const { version } = written;
    const config = { version, routes: [], services: [], limits };
    return Promise.resolve({ revision: version, config });
  };
  const loops = new StoreLoops({
    context,
    store: { readConfig } as unknown as Store,
    times: { listMs: 700, timeoutMs: 700, watchMs: 1500 },
    synchronizer: {
      takeConfig: ({ version }: { version: number }) => adopted.push(version),
      noteNewest: () => undefined,
    } as unknown as Synchronizer,
    follower: {} as HallFollower,
  });
  for (let at = 0; at <= 800; at += 100) {
    time.now = at;
    written.version += 1;
    await loops.readNewer();
  }
  assert.deepEqual(adopted, [2, 5, 8]);
  time.now = 900;
  await loops.readNewer();
  assert.equal(adopted.at(-1), written.version);
});

/** When a host whose store is away calls it, over ten seconds. */
async function callsWhileAway(reader: string): Promise<string[]> {
  const calls: string[] = [];
  const timers: { at: number; work: () => void }[] = [];
  const time = { now: 0 };
  const fail = (kind: string) => () => {
    calls.push(`${kind} ${time.now}`);
    return Promise.reject(new Error("Away"));
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
    } as unknown as GatewayContext,
    store: {
      readReplicas: fail("list"),
      readConfig: fail("config"),
    } as unknown as Store,
    times: { listMs: 700, timeoutMs: 700, watchMs: 1500 },
    synchronizer: {
      isTold: () => false,
      noteStore: () => undefined,
    } as unknown as Synchronizer,
    follower: { reader } as HallFollower,
  });
  loops.start();
  for (; time.now < 10_000; time.now += 50) {
    for (const due of timers.filter((one) => one.at <= time.now)) {
      timers.splice(timers.indexOf(due), 1);
      due.work();
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  loops.stop();
  return calls;
}

test("while the store is away its reader asks often, followers ever less", async () => {
  const reader = await callsWhileAway("self");
  const follower = await callsWhileAway("other");
  const listings = (calls: string[]) =>
    calls.filter((one) => one.startsWith("list")).length;
  assert.ok(listings(reader) >= 30, String(listings(reader)));
  assert.ok(listings(follower) <= 5, String(listings(follower)));
  for (const calls of [reader, follower]) {
    const others = calls.filter((one) => !one.startsWith("list"));
    assert.ok(others.length <= 1, others.join(", "));
  }
});
