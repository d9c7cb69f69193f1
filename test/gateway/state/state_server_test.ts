/** Tests what a reader sends to its followers about the configuration. */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { type Clock, systemClock } from "../../../src/gateway/clock.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { LinkPath, openLink } from "../../../src/gateway/peers/link.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import type { StateMessage } from "../../../src/gateway/state/state_messages.ts";
import { StateServer } from "../../../src/gateway/state/state_server.ts";
import { noopUpdateExchange } from "../crashes/empty_crash_watch.ts";
import { listen } from "../../platform/store_standin.ts";
import { routesOf } from "./routes_of.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";

/** A clock whose timers do not keep the process alive. */
const clock: Clock = {
  now: systemClock.now,
  after: (delayMs, work) => {
    const timer = setTimeout(work, delayMs).unref();
    return () => clearTimeout(timer);
  },
};
const LIMITS = { bodyBytes: 1, headerMs: 1, idleMs: 1 };

test("a small configuration is sent, of a large one only its version", async (t) => {
  const routes = new RouteTable();
  const replicas = new ReplicaTable();
  const self = { id: "reader", address: "127.0.0.1:1", hall: "h" };
  const eras = emptyStoreEras();
  const context = {
    clock,
    routes,
    replicas,
    eras,
  } as unknown as GatewayContext;
  const stateServer = new StateServer({
    context,
    self,
    directory: new HostDirectory(self, []),
    updates: noopUpdateExchange(),
    storeAgeMs: () => 0,
    listingAgeMs: () => 0,
    configAgeMs: () => 0,
    onNewerVersion: () => undefined,
    onJoined: () => {},
  });
  const server = createServer((request, response) =>
    stateServer.accept(request, response)
  );
  const address = await listen(server);
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const received: StateMessage[] = [];
  const path = LinkPath.state;
  const link = openLink({ address, path, self: "follower", clock }, {
    ready: () =>
      link.send({
        type: "follow",
        revision: -1,
        version: 0,
        sentAt: 0,
        host: { ...self, id: "follower" },
      }),
    line: (text) => received.push(JSON.parse(text) as StateMessage),
    closed: () => undefined,
  });
  const messageWith = async (version: number): Promise<StateMessage> => {
    for (;;) {
      const found = received.find((message) => message.version === version);
      if (found) return found;
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
  };
  await messageWith(0);
  const base = { services: [], limits: LIMITS };
  routes.adopt({ ...base, version: 1, routes: routesOf(40) });
  stateServer.broadcast();
  assert.equal((await messageWith(1)).config?.routes.length, 40);
  routes.adopt({ ...base, version: 2, routes: routesOf(2000) });
  stateServer.broadcast();
  assert.equal((await messageWith(2)).config, undefined);
  link.close();
});
