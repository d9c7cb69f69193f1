/** A follower reads configurations that it hears of, but not each at once. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { Store } from "../../../src/gateway/mod.ts";
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
