/**
 * Guards against hosts that take what all of them have forgotten for knowledge:
 * streams went on at another version, or were rejected, after hosts had ended.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  COVERED_MS,
  stream,
  STREAM_TTL_MS,
  StreamFleet,
} from "./stream_fleet.ts";
import { bound, mixedFleet } from "./stream_workload.ts";

const DOWNTIME_MS = 1000;
/** Within this time a stream is resolved while the store doesn't respond. */
const SILENT_STORE_MS = 800;

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
