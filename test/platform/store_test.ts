/** Listings and watches of the platform's store. */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { createStore } from "../../platform/store.ts";
import {
  createJsonClient,
  type Store,
  systemClock,
} from "../../src/gateway/mod.ts";
import { startStore, type StoreStandin } from "./store_standin.ts";

const SIGNAL = new AbortController().signal;
const REPLICA = {
  Service: "s",
  Address: "127.0.0.1:1",
  Zone: "h",
  Version: "v1",
  Slots: 1,
  State: "ready",
  ColdRemainingMs: 0,
  Sequence: 1,
};

async function start(
  t: TestContext,
): Promise<{ readonly standin: StoreStandin; readonly store: Store }> {
  const standin = await startStore();
  const client = createJsonClient(standin.address, systemClock);
  t.after(() => {
    client.close();
    standin.stop();
  });
  return { standin, store: createStore(client) };
}

test("a watch returns the rows changed and removed since a listing", async (t) => {
  const { standin, store } = await start(t);
  standin.put("servers", "a", REPLICA);
  standin.put("servers", "b", REPLICA);
  const listing = await store.readReplicas(SIGNAL);
  assert.deepEqual(
    listing.entries.map((entry) => entry.incarnation).sort(),
    ["a", "b"],
  );
  standin.put("servers", "a", { ...REPLICA, State: "draining" });
  standin.put("servers", "c", REPLICA);
  standin.remove("servers", "b");
  standin.put("servers", "c", { ...REPLICA, Address: "127.0.0.1:2" });
  const changes = await store.watchReplicas(listing, 0, SIGNAL);
  assert.ok((changes?.revision ?? 0) > listing.revision);
  assert.equal(changes?.era, listing.era);
  assert.deepEqual(changes?.gone, ["b"]);
  const changed = changes?.changed.map((entry) => [
    entry.incarnation,
    entry.leaving,
    entry.address,
  ]);
  assert.deepEqual(changed?.sort(), [
    ["a", true, "127.0.0.1:1"],
    ["c", false, "127.0.0.1:2"],
  ]);
});

test("a watch without changes is empty, and one whose history is lost returns undefined", async (t) => {
  const { standin, store } = await start(t);
  standin.put("servers", "a", REPLICA);
  const listing = await store.readReplicas(SIGNAL);
  const nothing = await store.watchReplicas(listing, 10, SIGNAL);
  assert.deepEqual([nothing?.changed, nothing?.gone], [[], []]);
  standin.loseHistory();
  assert.equal(await store.watchReplicas(listing, 10, SIGNAL), undefined);
});

test("an unreadable configuration is an error", async (t) => {
  const { standin, store } = await start(t);
  standin.put("op", "config", { Version: 1 });
  const { position } = await store.readConfig(SIGNAL);
  assert.ok(position);
  standin.put("op", "config", "no object" as unknown as object);
  await assert.rejects(store.watchConfig(position, 10, SIGNAL), /Unreadable/);
});

test("a watch from before the store was restored from a copy finds its history lost", async (t) => {
  const { standin, store } = await start(t);
  standin.put("servers", "a", REPLICA);
  standin.put("op", "config", { Version: 1 });
  const copy = standin.copy();
  standin.put("servers", "b", REPLICA);
  const listing = await store.readReplicas(SIGNAL);
  const { position } = await store.readConfig(SIGNAL);
  assert.ok(position);
  standin.restore(copy);
  const watches = () =>
    Promise.all([
      store.watchReplicas(listing, 0, SIGNAL),
      store.watchConfig(position, 0, SIGNAL),
    ]);
  assert.deepEqual(await watches(), [undefined, {}]);
  // Once the revision exceeds that of the old position, a watch that ignored
  // the era would miss the writes below it.
  standin.put("op", "config", { Version: 2 });
  for (const key of ["c", "d", "e"]) standin.put("servers", key, REPLICA);
  assert.deepEqual(await watches(), [undefined, {}]);
});
