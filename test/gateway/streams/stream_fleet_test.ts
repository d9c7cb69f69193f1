/**
 * Streams go on only at the version that began them, at whichever host their
 * clients take them up, while hosts end, restart or are cut off.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { KeeperChooser } from "../../../src/gateway/streams/keepers.ts";
import { listing, stream, STREAM_TTL_MS, StreamFleet } from "./stream_fleet.ts";
import {
  begin,
  bound,
  knownShare,
  mixedFleet,
  SENT_MS,
} from "./stream_workload.ts";

test("hosts send nothing while a service has one version", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  for (const host of fleet.hosts) {
    host.streams.note(stream(host.entry.id), "v1", STREAM_TTL_MS);
  }
  await fleet.run(10_000);
  assert.equal(fleet.messages.length, 0);
  for (const host of fleet.hosts) {
    assert.deepEqual(await fleet.resolve(host, stream("h0")), bound("v1"));
  }
});

test("any host knows the streams of a mixed service", async () => {
  for (const [size, halls] of [[2, 1], [3, 3], [9, 3], [9, 2], [30, 5]]) {
    const fleet = await mixedFleet(size, halls);
    const streams = begin(fleet.hosts, 60);
    await fleet.run(SENT_MS);
    assert.equal(await knownShare(fleet, fleet.hosts, streams), 1);
  }
});

test("a stream that was sent to another version before its first event is of that version", async () => {
  const fleet = await mixedFleet();
  const origin = fleet.host(0);
  for (let at = 0; at < 30; at++) {
    const key = stream(`a${at}`);
    origin.streams.note(key, "v1", STREAM_TTL_MS);
    // Some within one batch.
    await fleet.run(at % 3 === 0 ? 0 : 50);
    origin.streams.note(key, "v2", STREAM_TTL_MS);
  }
  await fleet.run(SENT_MS);
  for (let at = 0; at < 30; at++) {
    for (const host of fleet.hosts) {
      const binding = await fleet.resolve(host, stream(`a${at}`));
      assert.deepEqual(binding, bound("v2"));
    }
  }
});

test("a keeper that missed the later record of a stream is overruled", async () => {
  const fleet = await mixedFleet();
  const origin = fleet.host(0);
  const keys = Array.from({ length: 40 }, (_, at) => stream(`a${at}`));
  for (const key of keys) origin.streams.note(key, "v1", STREAM_TTL_MS);
  await fleet.run(SENT_MS);
  fleet.isCut = (from, to) => from === origin && to === fleet.host(4);
  for (const key of keys) origin.streams.note(key, "v2", STREAM_TTL_MS);
  await fleet.run(2 * SENT_MS);
  for (const key of keys) {
    const binding = await fleet.resolve(fleet.host(8), key);
    assert.deepEqual(binding, bound("v2"));
    const atKeeper = await fleet.resolve(fleet.host(4), key);
    assert.deepEqual(atKeeper, bound("v2"));
  }
});

test("each attempt of a chain renews the record under the first attempt's id", async () => {
  const fleet = await mixedFleet();
  const key = stream("first");
  fleet.host(0).streams.note(key, "v1", STREAM_TTL_MS);
  // Ten attempts at different hosts, far beyond the time of one record.
  for (let attempt = 1; attempt <= 10; attempt++) {
    await fleet.run(STREAM_TTL_MS * 0.9);
    const host = fleet.host(attempt % 9);
    assert.deepEqual(await fleet.resolve(host, key), bound("v1"));
    host.streams.note(key, "v1", STREAM_TTL_MS);
    await fleet.run(SENT_MS);
    const previous = fleet.host((attempt - 1) % 9);
    fleet.restart(previous);
    previous.entries = listing("v1", "v2");
  }
  await fleet.run(STREAM_TTL_MS);
  const binding = await fleet.resolve(fleet.host(5), key);
  assert.equal(binding.type, "unknown");
});

test("streams are known after three of nine hosts end at once, the origin included", async () => {
  const fleet = await mixedFleet();
  const ended = [0, 1, 5].map((at) => fleet.host(at));
  const streams = begin(ended, 90);
  await fleet.run(SENT_MS);
  for (const host of ended) host.isAlive = false;
  const alive = fleet.hosts.filter((host) => host.isAlive);
  assert.equal(await knownShare(fleet, alive, streams), 1);
  const later = begin(alive, 90);
  await fleet.run(2 * SENT_MS);
  assert.equal(await knownShare(fleet, alive, later), 1);
});

test("streams are known after a keeper has restarted", async () => {
  const fleet = await mixedFleet();
  const streams = begin([fleet.host(0)], 60);
  await fleet.run(SENT_MS);
  const restarted = fleet.host(4);
  fleet.restart(restarted);
  const others = fleet.hosts.filter((host) => host !== fleet.host(0));
  assert.equal(await knownShare(fleet, others, streams), 1);
});

test("streams are known on both sides of a hall that is cut off after they began", async () => {
  const fleet = await mixedFleet();
  const streams = begin(fleet.hosts, 90);
  await fleet.run(SENT_MS);
  fleet.isCut = (from, to) =>
    from.entry.hall !== to.entry.hall &&
    [from, to].some(({ entry }) => entry.hall === "hall-1");
  const sides = [true, false].map((isCutOff) =>
    fleet.hosts.filter(({ entry }) => (entry.hall === "hall-1") === isCutOff)
  );
  for (const side of sides) {
    assert.equal(await knownShare(fleet, side, streams), 1);
  }
});

test("streams that begin while a hall is cut off are known on their side", async () => {
  const fleet = await mixedFleet();
  fleet.isCut = (from, to) =>
    from.entry.hall !== to.entry.hall &&
    [from, to].some(({ entry }) => entry.hall === "hall-1");
  const others = fleet.hosts.filter(({ entry }) => entry.hall !== "hall-1");
  const streams = begin(others, 90);
  await fleet.run(2 * SENT_MS);
  assert.equal(await knownShare(fleet, others, streams), 1);
});

test("streams are known to hosts that know one host more or less", async () => {
  const fleet = await mixedFleet();
  const missing = fleet.host(3).entry;
  for (const host of fleet.hosts.slice(4)) {
    host.known = host.known.filter((entry) => entry !== missing);
  }
  const streams = begin(fleet.hosts, 180);
  await fleet.run(SENT_MS);
  assert.equal(await knownShare(fleet, fleet.hosts, streams), 1);
});

test("hosts of a build without records are passed over as keepers", async () => {
  const fleet = await mixedFleet();
  for (const at of [1, 2, 3]) fleet.host(at).isOldBuild = true;
  const current = fleet.hosts.filter((host) => !host.isOldBuild);
  const streams = begin(current, 90);
  await fleet.run(2 * SENT_MS);
  assert.equal(await knownShare(fleet, current, streams), 1);
});

test("a record that a keeper doesn't take goes once to another host", async () => {
  const fleet = await mixedFleet();
  const { streams, metrics, entry, known } = fleet.host(0);
  const choice = new KeeperChooser(entry).of(stream("a"), known);
  const [, ...reachable] = choice.keepers;
  assert.equal(reachable.length, 2);
  fleet.isCut = (_, to) => !reachable.includes(to.entry);
  streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(10_000);
  assert.equal(fleet.messages.length, 4);
  assert.equal(metrics.counterValue("stream_records_sent"), 2);
  assert.equal(metrics.counterValue("stream_records_lost"), 1);
});

test("many records wait for a keeper in batches of a bounded size", async () => {
  const fleet = new StreamFleet(3);
  await fleet.settle("v1");
  const { streams, metrics } = fleet.host(0);
  for (let at = 0; at < 3000; at++) {
    streams.note(stream(`a${at}`), "v1", STREAM_TTL_MS);
  }
  fleet.list("v1", "v2");
  await fleet.run(3000);
  const sizes = fleet.messages.map(({ body }) => {
    const { records } = JSON.parse(body) as { records: unknown[] };
    return records.length;
  });
  assert.ok(sizes.every((size) => size <= 500));
  assert.equal(sizes.reduce((sum, size) => sum + size, 0), 6000);
  assert.equal(metrics.counterValue("stream_records_sent"), 6000);
});

test("an id that is too long, of another service or never seen is unknown", async () => {
  const fleet = await mixedFleet();
  const host = fleet.host(0);
  const long = stream("x".repeat(201));
  host.streams.note(long, "v1", STREAM_TTL_MS);
  host.streams.note(stream(""), "v1", STREAM_TTL_MS);
  host.streams.note(stream("a"), "v1", STREAM_TTL_MS);
  assert.equal(host.streams.size, 1);
  const keys = [long, stream(""), stream("b"), { service: "other", id: "a" }];
  for (const key of keys) {
    assert.equal((await fleet.resolve(host, key)).type, "unknown");
  }
  assert.equal(host.events.includes("streamVersionUnknown"), true);
  assert.equal(host.metrics.counterValue("stream_versions_unknown"), 4);
});

test("a resolution takes a quarter of a second at most when no host responds", async () => {
  const fleet = await mixedFleet();
  fleet.isCut = () => true;
  const startedAt = fleet.now;
  await fleet.resolve(fleet.host(0), stream("a"));
  assert.ok(fleet.now - startedAt <= 255, `${fleet.now - startedAt} ms`);
});
