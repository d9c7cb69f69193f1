/**
 * A stream's version is inferred only while its service can have had no other:
 * not by a host that has just started, is cut off, or lags behind.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { listing, stream, STREAM_TTL_MS, StreamFleet } from "./stream_fleet.ts";
import {
  begin,
  bound,
  knownShare,
  mixedFleet,
  SENT_MS,
} from "./stream_workload.ts";

test("streams that began before the second version are known after it appears", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const streams = Array.from({ length: 90 }, (_, at) => {
    const id = `stream-${at}`;
    fleet.host(at % 9).streams.note(stream(id), "v1", STREAM_TTL_MS);
    return { id, softwareVersion: "v1" };
  });
  // Hosts learn of the second version at different times.
  for (const host of fleet.hosts) {
    host.entries = listing("v1", "v2");
    await fleet.run(150);
    const [{ id } = { id: "" }] = streams;
    assert.deepEqual(await fleet.resolve(host, stream(id)), bound("v1"));
  }
  assert.equal(await knownShare(fleet, fleet.hosts, streams), 1);
  await fleet.run(10_000);
  fleet.host(0).isAlive = false;
  const alive = fleet.hosts.slice(1);
  assert.equal(await knownShare(fleet, alive, streams), 1);
});

test("a host that doesn't list the second version yet doesn't take its streams for the first's", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const late = fleet.host(8);
  for (const host of fleet.hosts) {
    if (host !== late) host.entries = listing("v1", "v2");
  }
  fleet.host(0).streams.note(stream("a"), "v2", STREAM_TTL_MS);
  await fleet.run(SENT_MS);
  late.listingAgeMs = 5000;
  assert.deepEqual(await fleet.resolve(late, stream("a")), bound("v2"));
  const unseen = await fleet.resolve(late, stream("b"));
  assert.equal(unseen.type, "unknown");
});

test("a host that is cut off infers nothing once its listing is old", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const lone = fleet.host(8);
  fleet.isCut = (from, to) => (from === lone) !== (to === lone);
  // So it is from the store.
  fleet.store.mode = "silent";
  lone.listingAgeMs = 5000;
  assert.equal((await fleet.resolve(lone, stream("a"), 1000)).type, "unknown");
  lone.streams.note(stream("own"), "v1", STREAM_TTL_MS);
  assert.deepEqual(await fleet.resolve(lone, stream("own")), bound("v1"));
});

test("a host whose listing is old sends its records, since others may be mixed", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const late = fleet.host(8);
  for (const host of fleet.hosts) {
    if (host !== late) host.entries = listing("v1", "v2");
  }
  late.listingAgeMs = 6000;
  await fleet.run(6000);
  void late.streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(SENT_MS);
  late.isAlive = false;
  const binding = await fleet.resolve(fleet.host(2), stream("a"));
  assert.deepEqual(binding, bound("v1"));
});

test("hosts in touch infer the only version while the store is unavailable", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  for (const host of fleet.hosts) host.listingAgeMs = 60_000;
  fleet.host(1).isAlive = false;
  const binding = await fleet.resolve(fleet.host(8), stream("a"));
  assert.deepEqual(binding, bound("v1"));
});

test("a host that has just started knows streams of a mixed service, and of one that was mixed", async () => {
  const fleet = await mixedFleet();
  const streams = begin(fleet.hosts, 60);
  await fleet.run(SENT_MS);
  const fresh = fleet.add("hall-1");
  fresh.entries = listing("v1", "v2");
  assert.equal(await knownShare(fleet, [fresh], streams), 1);
  fleet.list("v2");
  await fleet.run(2000);
  const later = fleet.add("hall-2");
  later.entries = listing("v2");
  assert.equal(await knownShare(fleet, [later], streams), 1);
  // It sends its own records, since the others count the service as mixed.
  later.streams.note(stream("later"), "v2", STREAM_TTL_MS);
  await fleet.run(SENT_MS);
  const binding = await fleet.resolve(fleet.host(0), stream("later"));
  assert.deepEqual(binding, bound("v2"));
  const unknown = await fleet.resolve(later, stream("never"));
  assert.equal(unknown.type, "unknown");
});

test("all hosts of a service with one version may restart together", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  for (const host of fleet.hosts) fleet.restart(host);
  await fleet.run(1000);
  const binding = await fleet.resolve(fleet.host(2), stream("a"));
  assert.deepEqual(binding, bound("v1"));
});

test("a version that ended is remembered while its streams can be resumed", async () => {
  const fleet = await mixedFleet();
  fleet.host(0).streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(SENT_MS);
  fleet.list("v2");
  await fleet.run(STREAM_TTL_MS - 2 * SENT_MS);
  const binding = await fleet.resolve(fleet.host(5), stream("a"));
  assert.deepEqual(binding, bound("v1"));
});
