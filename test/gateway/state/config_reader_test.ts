/** Tests how fresh the configuration is considered by what the store responds. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type {
  ConfigReading,
  RouteConfig,
  Store,
} from "../../../src/gateway/mod.ts";
import { Metrics } from "../../../src/gateway/observe/metrics.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { ConfigReader } from "../../../src/gateway/state/config_reader.ts";
import { StoreCalls } from "../../../src/gateway/state/store_calls.ts";
import { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { VirtualTime } from "../../fake/virtual_time.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { neverSuspended } from "../never_suspended.ts";

const WATCH_MS = 1200;

function configOf(version: number): RouteConfig {
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  return { version, routes: [], services: [], limits };
}

/** A reader before a store whose responses arrive in the order of `answer`. */
function start() {
  const time = new VirtualTime();
  const { clock } = time;
  const pending: ((reading: ConfigReading) => void)[] = [];
  const call = () =>
    new Promise<ConfigReading>((resolve) => pending.push(resolve));
  const context = {
    clock,
    eras: emptyStoreEras(),
    routes: new RouteTable(),
    events: { note: () => undefined },
    metrics: new Metrics(),
    suspensions: neverSuspended(),
  } as unknown as GatewayContext;
  const synchronizer = new Synchronizer({
    context,
    onConfig: () => undefined,
    onChange: () => undefined,
    onVersionAnnounced: () => undefined,
    onDraining: () => undefined,
    hasFollowers: () => false,
  });
  const reader = new ConfigReader({
    context,
    store: { readConfig: call, watchConfig: call } as unknown as Store,
    calls: new StoreCalls(context),
    synchronizer,
    timeoutMs: 700,
    watchMs: WATCH_MS,
  });
  const answer = async (call: number, reading: ConfigReading) => {
    pending[call]?.(reading);
    await new Promise((resolve) => setImmediate(resolve));
    await time.runTo(time.now + 1);
  };
  const ageMs = () => synchronizer.configAgeMs(time.now);
  return { time, reader, answer, ageMs };
}

// Guards against an age that grows for good, since the watch reports only newer
// configurations.
for (const late of [{ config: configOf(1) }, {}]) {
  const name = "config" in late ? "an older version" : "no configuration";
  test(`a late response with ${name} does not make the configuration old`, async () => {
    const { time, reader, answer, ageMs } = start();
    await time.runTo(10_000);
    void reader.read();
    await answer(0, { position: { revision: 5 }, config: configOf(1) });
    void reader.read();
    void reader.read({ revision: 5 });
    await answer(2, { position: { revision: 8 }, config: configOf(2) });
    await answer(1, { position: { revision: 6 }, ...late });
    for (let watch = 3; watch < 23; watch++) {
      void reader.read({ revision: 8 });
      await time.runTo(time.now + WATCH_MS);
      await answer(watch, { position: { revision: 8 + watch } });
    }
    assert.ok(ageMs() <= WATCH_MS + 1, `${ageMs()} ms`);
  });
}
