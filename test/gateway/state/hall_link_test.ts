/**
 * Tests that a follower receives state over a real link, and leaves a dead
 * reader.
 */
import assert from "node:assert/strict";
import { createServer } from "node:http";
import { test } from "node:test";
import { type Clock, systemClock } from "../../../src/gateway/clock.ts";
import type { GatewayContext } from "../../../src/gateway/context.ts";
import type { HostEntry } from "../../../src/gateway/mod.ts";
import { HostDirectory } from "../../../src/gateway/peers/directory.ts";
import { HostOrders } from "../../../src/gateway/peers/host_order.ts";
import { openLink } from "../../../src/gateway/peers/link.ts";
import { ReplicaTable } from "../../../src/gateway/replicas/replica_table.ts";
import { RouteTable } from "../../../src/gateway/routing/route_table.ts";
import { HallFollower } from "../../../src/gateway/state/hall_follower.ts";
import { chooseReader } from "../../../src/gateway/state/reader_choice.ts";
import type { StateMessage } from "../../../src/gateway/state/state_messages.ts";
import { noopUpdateExchange } from "../crashes/empty_crash_watch.ts";
import { replicaEntry } from "../replica_entry.ts";
import { StateServer } from "../../../src/gateway/state/state_server.ts";
import { neverSuspended } from "../never_suspended.ts";
import { emptyStoreEras } from "../empty_store_eras.ts";
import { LOOPBACK } from "../../loopback.ts";

/** A clock whose timers do not keep the process alive. */
const clock: Clock = {
  now: systemClock.now,
  after: (delayMs, work) => {
    const timer = setTimeout(work, delayMs).unref();
    return () => clearTimeout(timer);
  },
};

/** Creates a context, and a list of the names of its logged events. */
function makeContext() {
  const events: string[] = [];
  const context = {
    clock,
    routes: new RouteTable(),
    replicas: new ReplicaTable(),
    events: { note: (name: string) => events.push(name) },
    eras: emptyStoreEras(),
    suspensions: neverSuspended(),
  } as unknown as GatewayContext;
  return { context, events };
}

/** Chooses host ids such that `follower` follows `reader`. */
function chooseHostIds(): { reader: string; follower: string } {
  const hosts = ["a", "b"].map((id) => ({ id, address: "", hall: "h" }));
  const [first, second] = hosts;
  assert.ok(first && second);
  const reader = chooseReader({
    self: first,
    hosts: [second],
    orders: new HostOrders(first),
    isSuspect: () => false,
  });
  return { reader, follower: reader === "a" ? "b" : "a" };
}

async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise((resolve) => setTimeout(resolve, 5));
}

test("a follower applies its reader's state, and leaves the reader when its link ends", async (t) => {
  const { reader, follower } = chooseHostIds();
  const ages = { now: Infinity };
  const readerSide = makeContext();
  readerSide.context.replicas.adopt({
    revision: 1,
    entries: [replicaEntry("x")],
  });
  const server = createServer((request, response) =>
    stateServer.accept(request, response)
  );
  await new Promise<void>((resolve) =>
    server.listen(0, LOOPBACK, () => resolve())
  );
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const bound = server.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  const readerEntry: HostEntry = {
    id: reader,
    address: `${LOOPBACK}:${port}`,
    hall: "h",
  };
  const stateServer = new StateServer({
    context: readerSide.context,
    self: readerEntry,
    directory: new HostDirectory(readerEntry, []),
    updates: noopUpdateExchange(),
    storeAgeMs: () => ages.now,
    listingAgeMs: () => 0,
    configAgeMs: () => Infinity,
    onNewerVersion: () => undefined,
    onJoined: () => {},
  });
  const followerSide = makeContext();
  const self = { id: follower, address: "127.0.0.1:1", hall: "h" };
  const directory = new HostDirectory(self, []);
  directory.add([readerEntry], systemClock.now());
  const received: StateMessage[] = [];
  const hallFollower = new HallFollower({
    context: followerSide.context,
    self,
    directory,
    updates: noopUpdateExchange(),
    followers: () => [],
    openLink,
    onReport: ({ message }) => {
      received.push(message);
      const { listing } = message;
      return !listing ||
        followerSide.context.replicas.applyDelta(listing) !== "gap";
    },
  });
  hallFollower.start();
  // A reader that reports no age sends no listing and is not followed.
  await waitUntil(() => received.length > 0);
  assert.equal(hallFollower.reader, follower);
  assert.equal(received[0]?.ageMs, undefined);
  assert.equal(received[0]?.listing, undefined);
  ages.now = 7;
  stateServer.broadcast();
  await waitUntil(() => followerSide.context.replicas.get("x") !== undefined);
  assert.equal(hallFollower.reader, reader);
  assert.equal(received.at(-1)?.ageMs, 7);
  assert.deepEqual(received[0]?.hosts?.map((host) => host.id), [reader]);
  readerSide.context.replicas.adopt({
    revision: 2,
    entries: [replicaEntry("y")],
  });
  stateServer.broadcast();
  await waitUntil(() => followerSide.context.replicas.get("y") !== undefined);
  assert.equal(followerSide.context.replicas.get("x"), undefined);
  server.closeAllConnections();
  server.close();
  await waitUntil(() => followerSide.events.includes("readerLeft"));
  assert.equal(hallFollower.reader, follower);
});
