/**
 * Guards against hosts that take what all of them have forgotten for knowledge:
 * streams went on at another version, or were rejected, after hosts had ended.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { ARCHIVE_TABLE } from "../../../src/gateway/streams/archive_rows.ts";
import {
  COVERED_MS,
  listing,
  stream,
  STREAM_TTL_MS,
  StreamFleet,
  type StreamHost,
} from "./stream_fleet.ts";
import { begin, bound, knownShare, mixedFleet } from "./stream_workload.ts";

/** Within this time a stream that has begun is in the store. */
const ARCHIVED_MS = 1000;
const DOWNTIME_MS = 1000;
/** Within this time a stream is resolved while the store doesn't respond. */
const SILENT_STORE_MS = 800;

/** Begins streams whose callers receive their first event. */
function receive(
  hosts: readonly StreamHost[],
  count: number,
): ReturnType<typeof begin> {
  const streams = begin(hosts, count);
  for (const { id } of streams) {
    for (const host of hosts) host.streams.noteBegun(stream(id));
  }
  return streams;
}

test("a stream of a version that left before all hosts ended isn't bound to another", async () => {
  const fleet = await mixedFleet();
  fleet.list("v2");
  await fleet.restartAll(DOWNTIME_MS);
  await fleet.run(100);
  for (const host of fleet.hosts) {
    const binding = await fleet.resolve(host, stream("a"));
    assert.equal(binding.type, "unknown");
  }
});

test("a stream of a version that left isn't bound to another after hosts ended one by one", async () => {
  const fleet = await mixedFleet();
  fleet.list("v2");
  for (const host of fleet.hosts) {
    host.isAlive = false;
    await fleet.run(DOWNTIME_MS);
    fleet.restart(host);
    await fleet.run(DOWNTIME_MS);
    const binding = await fleet.resolve(host, stream("a"));
    assert.equal(binding.type, "unknown");
  }
});

test("a stream isn't bound to a version that came while all hosts were down", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  for (const host of fleet.hosts) host.isAlive = false;
  fleet.list("v2");
  await fleet.restartAll(DOWNTIME_MS);
  await fleet.run(100);
  const binding = await fleet.resolve(fleet.host(0), stream("a"));
  assert.equal(binding.type, "unknown");
});

test("a version that was seen for two seconds is remembered by hosts that start later", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  fleet.list("v1", "v2");
  await fleet.run(2000);
  fleet.list("v1");
  await fleet.restartAll(DOWNTIME_MS);
  await fleet.run(100);
  const binding = await fleet.resolve(fleet.host(0), stream("a"));
  assert.equal(binding.type, "unknown");
});

test("a version that left counts no longer after all hosts ended than it would have", async () => {
  const fleet = await mixedFleet();
  fleet.list("v2");
  await fleet.run(STREAM_TTL_MS / 2);
  await fleet.restartAll(DOWNTIME_MS);
  await fleet.run(STREAM_TTL_MS / 2 - 2 * DOWNTIME_MS);
  const early = await fleet.resolve(fleet.host(0), stream("a"));
  assert.equal(early.type, "unknown");
  await fleet.run(3 * DOWNTIME_MS);
  const binding = await fleet.resolve(fleet.host(0), stream("a"));
  assert.deepEqual(binding, bound("v2"));
});

test("the only version is known right after all hosts ended, with other versions long gone", async () => {
  const fleet = await mixedFleet();
  fleet.list("v2");
  await fleet.run(COVERED_MS);
  await fleet.restartAll(DOWNTIME_MS);
  await fleet.run(10);
  for (const host of fleet.hosts) {
    assert.deepEqual(await fleet.resolve(host, stream("a")), bound("v2"));
  }
});

// Guards against streams that nobody knows when a host ends just as a second
// version appears, and the fleet is younger than the window.
test("streams of a young fleet are known when their host ends as a second version appears", async () => {
  const fleet = new StreamFleet(9);
  fleet.list("v1");
  await fleet.run(5000);
  const origin = fleet.host(0);
  void origin.streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(ARCHIVED_MS);
  origin.isAlive = false;
  fleet.list("v1", "v2");
  await fleet.run(ARCHIVED_MS);
  const binding = await fleet.resolve(fleet.host(5), stream("a"));
  assert.deepEqual(binding, bound("v1"));
});

test("streams of versions side by side are known after all hosts ended", async () => {
  for (const [size, halls] of [[1, 1], [3, 3], [9, 3], [30, 5]]) {
    const fleet = await mixedFleet(size, halls);
    const streams = receive(fleet.hosts, 60);
    await fleet.run(ARCHIVED_MS);
    await fleet.restartAll(DOWNTIME_MS);
    assert.equal(await knownShare(fleet, fleet.hosts, streams), 1);
  }
});

test("streams that ran when a second version appeared are known after all hosts ended", async () => {
  const fleet = new StreamFleet(9);
  await fleet.settle("v1");
  const streams = receive(fleet.hosts.slice(0, 1), 30)
    .filter(({ softwareVersion }) => softwareVersion === "v1");
  fleet.list("v1", "v2");
  await fleet.run(2 * ARCHIVED_MS);
  await fleet.restartAll(DOWNTIME_MS);
  assert.equal(await knownShare(fleet, fleet.hosts, streams), 1);
});

test("a stream that was sent to a second version before its first event is known as the second's", async () => {
  const fleet = await mixedFleet();
  const { streams } = fleet.host(0);
  void streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await fleet.run(ARCHIVED_MS);
  void streams.note(stream("a"), "v2", STREAM_TTL_MS);
  streams.noteBegun(stream("a"));
  await fleet.run(ARCHIVED_MS);
  await fleet.restartAll(DOWNTIME_MS);
  const binding = await fleet.resolve(fleet.host(5), stream("a"));
  assert.deepEqual(binding, bound("v2"));
});

test("streams are known after all hosts ended although the responses of the store's writes were lost", async () => {
  const fleet = await mixedFleet();
  fleet.store.mode = "responseLost";
  const lost = receive(fleet.hosts, 30);
  await fleet.run(5000);
  fleet.store.mode = "up";
  await fleet.run(5000);
  await fleet.restartAll(DOWNTIME_MS);
  assert.equal(await knownShare(fleet, fleet.hosts, lost), 1);
});

test("nothing is inferred by hosts that all started while the store was silent, until it is back", async () => {
  const fleet = await mixedFleet();
  fleet.store.mode = "silent";
  fleet.list("v2");
  await fleet.restartAll(DOWNTIME_MS);
  await fleet.run(100);
  const host = fleet.host(0);
  const silent = await fleet.resolve(host, stream("a"), SILENT_STORE_MS);
  assert.equal(silent.type, "unknown");
  fleet.store.mode = "up";
  for (const other of fleet.hosts) fleet.restart(other);
  await fleet.run(100);
  assert.equal((await fleet.resolve(host, stream("a"))).type, "unknown");
});

test("few calls write the streams of a mixed service, in small rows that are removed", async () => {
  const fleet = await mixedFleet(30, 5);
  await fleet.run(10_000);
  const seconds = 20;
  for (let second = 0; second < seconds; second++) {
    for (let at = 0; at < 100; at++) {
      const { streams } = fleet.host(at % 30);
      const key = stream(`${second}-${at}`);
      void streams.note(key, at % 2 === 0 ? "v1" : "v2", 10_000);
      streams.noteBegun(key);
      await fleet.run(10);
    }
  }
  const lengths = fleet.store.writtenLengths.get(ARCHIVE_TABLE) ?? [];
  assert.ok(lengths.length <= 2 * seconds + 1, `${lengths.length} writes`);
  // A row holds at most 64 KiB.
  assert.ok(Math.max(...lengths) < 10_000, `${Math.max(...lengths)} bytes`);
  assert.ok(fleet.store.rowsOf(ARCHIVE_TABLE).length >= 5);
  await fleet.run(COVERED_MS);
  assert.deepEqual(fleet.store.rowsOf(ARCHIVE_TABLE), []);
});

test("the rows of hosts that ended are removed by the next one that writes", async () => {
  const fleet = await mixedFleet(3);
  receive(fleet.hosts, 30);
  await fleet.run(ARCHIVED_MS);
  await fleet.restartAll(DOWNTIME_MS);
  for (const host of fleet.hosts) host.entries = listing("v1", "v2");
  await fleet.run(STREAM_TTL_MS);
  assert.equal(fleet.store.rowsOf(ARCHIVE_TABLE).length, 1);
  receive(fleet.hosts, 3);
  await fleet.run(ARCHIVED_MS + COVERED_MS);
  assert.deepEqual(fleet.store.rowsOf(ARCHIVE_TABLE), []);
});
