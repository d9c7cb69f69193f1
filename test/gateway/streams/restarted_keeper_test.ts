/**
 * Guards against streams of a version that has just joined that go on at the one
 * before it, on the word of a keeper that has lost its records.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { stream, STREAM_TTL_MS, StreamFleet } from "./stream_fleet.ts";
import { bound } from "./stream_workload.ts";

const HOSTS = 9;
const STREAMS = 40;
/** From the first stream to the end of the other hosts: none is in the store. */
const RUNNING_MS = 100;
const RESTARTED_MS = 200;
const RESOLVED_MS = 2000;

/** Begins streams at a host, which ends with all but two others. */
async function beginAndEnd(version: string): Promise<{
  readonly fleet: StreamFleet;
  readonly ids: readonly string[];
}> {
  const fleet = new StreamFleet(HOSTS);
  await fleet.settle("v1");
  fleet.list("v1", "v2");
  const ids = Array.from({ length: STREAMS }, (_, at) => `${version}-${at}`);
  const origin = fleet.host(0);
  for (const id of ids) {
    void origin.streams.note(stream(id), version, STREAM_TTL_MS);
  }
  await fleet.run(RUNNING_MS);
  for (const host of fleet.hosts.slice(0, -2)) host.isAlive = false;
  return { fleet, ids };
}

test("a keeper that has just restarted doesn't speak for the version before", async () => {
  const { fleet, ids } = await beginAndEnd("v2");
  fleet.restart(fleet.host(HOSTS - 2));
  await fleet.run(RESTARTED_MS);
  const taker = fleet.host(HOSTS - 1);
  const joined: string[] = [];
  for (const id of ids) {
    const binding = await fleet.resolve(taker, stream(id), RESOLVED_MS);
    if (binding.type === "bound" && binding.softwareVersion !== "v2") {
      joined.push(id);
    }
  }
  assert.deepEqual(joined, []);
});

test("a keeper that runs on speaks for the version before", async () => {
  const fleet = new StreamFleet(HOSTS);
  await fleet.settle("v1");
  fleet.list("v1", "v2");
  const taker = fleet.host(HOSTS - 1);
  const binding = await fleet.resolve(taker, stream("a"), RESOLVED_MS);
  assert.deepEqual(binding, bound("v1"));
});
