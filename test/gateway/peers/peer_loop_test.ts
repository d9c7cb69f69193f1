/** Tests the interval at which a starting host polls its peers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { Store } from "../../../src/gateway/mod.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import type { PeerClient } from "../../../src/gateway/peers/peer_client.ts";
import { startPeerLoops } from "../../../src/gateway/peers/peer_loop.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { emptyCrashWatch } from "../crashes/empty_crash_watch.ts";
import type { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { neverSuspended } from "../never_suspended.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { singleHostStreams } from "../streams/single_host_streams.ts";

/** The first delays of the loops while the store does not respond. */
function firstDelays(routes: RouteTable): number[] {
  const delays: number[] = [];
  const after = (delayMs: number) => {
    delays.push(delayMs);
    return () => undefined;
  };
  const never = () => new Promise<never>(() => undefined);
  const self = { id: "a", address: "127.0.0.1:1", hall: "h" };
  startPeerLoops({
    context: {
      clock: { now: () => 0, after },
      routes,
      crashes: emptyCrashWatch(),
      streams: singleHostStreams(),
      eras: emptyStoreEras(),
      suspensions: neverSuspended(),
    } as unknown as GatewayContext,
    self,
    store: { readRows: never, writeRow: never } as unknown as Store,
    directory: new HostDirectory(self, []),
    synchronizer: { freshForMs: () => 0 } as unknown as Synchronizer,
    peerClient: { request: never } as unknown as PeerClient,
    followers: () => [],
    isListedByReader: () => false,
  });
  return delays;
}

test("a host without routes polls its peers within 100 ms", () => {
  assert.ok(firstDelays(new RouteTable()).includes(100));
});

test("a host with routes polls its peers at intervals of at least 400 ms", () => {
  const routes = new RouteTable();
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  routes.adopt({ version: 1, routes: [], services: [], limits });
  const delays = firstDelays(routes);
  assert.ok(delays.includes(400));
  assert.ok(delays.every((delay) => delay >= 400), String(delays));
});
