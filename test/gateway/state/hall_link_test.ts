/** A follower hears its reader over a real link, and leaves a dead one. */
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
import { quietNews } from "../crashes/quiet_watch.ts";
import { replicaEntry } from "../replica_entry.ts";
import { StateServer } from "../../../src/gateway/state/state_server.ts";
import { neverSuspended } from "../never_suspended.ts";
import { quietEras } from "../quiet_eras.ts";

/** Timers that go on for the life of a process do not keep this one. */
const clock: Clock = {
  now: systemClock.now,
  after: (delayMs, work) => {
    const timer = setTimeout(work, delayMs).unref();
    return () => clearTimeout(timer);
  },
};

/** A context and the names of the events noted in it. */
function makeContext() {
  const events: string[] = [];
  const context = {
    clock,
    routes: new RouteTable(),
    replicas: new ReplicaTable(),
    events: { note: (name: string) => events.push(name) },
    eras: quietEras(),
    suspensions: neverSuspended(),
  } as unknown as GatewayContext;
  return { context, events };
}

/** Names by which `reader` is chosen by `follower`. */
function names(): { reader: string; follower: string } {
  const hosts = ["a", "b"].map((id) => ({ id, address: "", hall: "h" }));
  const [first, second] = hosts;
  assert.ok(first && second);
  const reader = chooseReader({
    self: first,
    hosts: [second],
    orders: new HostOrders(first.id),
    isSuspect: () => false,
  });
  return { reader, follower: reader === "a" ? "b" : "a" };
}

async function until(isSo: () => boolean): Promise<void> {
  while (!isSo()) await new Promise((resolve) => setTimeout(resolve, 5));
}

test("a follower takes what its reader tells, and leaves it when it is gone", async (t) => {
  const { reader, follower } = names();
  const ages = { now: Infinity };
  const there = makeContext();
  there.context.replicas.adopt({ revision: 1, entries: [replicaEntry("x")] });
  const server = createServer((request, response) =>
    states.accept(request, response)
  );
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const bound = server.address();
  const port = typeof bound === "object" && bound ? bound.port : 0;
  const place: HostEntry = {
    id: reader,
    address: `127.0.0.1:${port}`,
    hall: "h",
  };
  const states = new StateServer({
    context: there.context,
    self: place,
    directory: new HostDirectory(place, []),
    news: quietNews(),
    storeAgeMs: () => ages.now,
    configAgeMs: () => Infinity,
  });
  const here = makeContext();
  const self = { id: follower, address: "127.0.0.1:1", hall: "h" };
  const directory = new HostDirectory(self, []);
  directory.learn([place], systemClock.now());
  const told: StateMessage[] = [];
  const link = new HallFollower({
    context: here.context,
    self,
    directory,
    news: quietNews(),
    openLink,
    onState: ({ message }) => {
      told.push(message);
      const { listing } = message;
      return !listing || here.context.replicas.follow(listing) !== "gap";
    },
  });
  link.start();
  // A reader with no word of its own to tell does not tell its listing, and is
  // not followed.
  await until(() => told.length > 0);
  assert.equal(link.reader, follower);
  assert.equal(told[0]?.ageMs, undefined);
  assert.equal(told[0]?.listing, undefined);
  ages.now = 7;
  states.tell();
  await until(() => here.context.replicas.get("x") !== undefined);
  assert.equal(link.reader, reader);
  assert.equal(told.at(-1)?.ageMs, 7);
  assert.deepEqual(told[0]?.hosts?.map((one) => one.id), [reader]);
  there.context.replicas.adopt({ revision: 2, entries: [replicaEntry("y")] });
  states.tell();
  await until(() => here.context.replicas.get("y") !== undefined);
  assert.equal(here.context.replicas.get("x"), undefined);
  server.closeAllConnections();
  server.close();
  await until(() => here.events.includes("readerLeft"));
  assert.equal(link.reader, follower);
});
