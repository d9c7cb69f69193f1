/** How soon a host that has just started asks its peers. */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { Store } from "../../../src/gateway/mod.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import type { PeerQuestions } from "../../../src/gateway/peers/peer_questions.ts";
import { startPeerLoops } from "../../../src/gateway/peers/peer_loop.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { quietWatch } from "../crashes/quiet_watch.ts";
import type { Synchronizer } from "../../../src/gateway/state/synchronizer.ts";
import { neverSuspended } from "../never_suspended.ts";
import { quietEras } from "../quiet_eras.ts";

/** The pauses that the loops begin with, the store not answering. */
function firstPauses(routes: RouteTable): number[] {
  const pauses: number[] = [];
  const after = (delayMs: number) => {
    pauses.push(delayMs);
    return () => undefined;
  };
  const never = () => new Promise<never>(() => undefined);
  const self = { id: "a", address: "127.0.0.1:1", hall: "h" };
  startPeerLoops({
    context: {
      clock: { now: () => 0, after },
      routes,
      crashes: quietWatch(),
      eras: quietEras(),
      suspensions: neverSuspended(),
    } as unknown as GatewayContext,
    self,
    store: { readRows: never, writeRow: never } as unknown as Store,
    directory: new HostDirectory(self, []),
    synchronizer: { freshForMs: () => 0 } as unknown as Synchronizer,
    questions: { ask: never } as unknown as PeerQuestions,
    followers: () => [],
    isNamedByReader: () => false,
  });
  return pauses;
}

test("a host that knows no routes asks its peers within 100 ms", () => {
  assert.ok(firstPauses(new RouteTable()).includes(100));
});

test("a host that knows its routes asks no more often than each 400 ms", () => {
  const routes = new RouteTable();
  const limits = { bodyBytes: 1, headerMs: 1, idleMs: 1 };
  routes.adopt({ version: 1, routes: [], services: [], limits });
  const pauses = firstPauses(routes);
  assert.ok(pauses.includes(400));
  assert.ok(pauses.every((one) => one >= 400), String(pauses));
});
