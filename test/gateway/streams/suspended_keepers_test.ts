/**
 * Guards against streams of a version that has just joined that go on at the one
 * before it, on the word of keepers that their records never reached.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  listing,
  stream,
  STREAM_TTL_MS,
  StreamFleet,
  type StreamHost,
} from "./stream_fleet.ts";
import { bound } from "./stream_workload.ts";

const HOSTS = 5;
const HALLS = 2;
const TAKERS = 2;
const JOINED_MS = 1000;
/** Less than it takes a record to be written to the store. */
const RUNNING_MS = 100;
const RESOLVED_MS = 2000;
const STREAMS = 40;

/** Streams that begin at a new version as two hosts hear none of the others. */
async function beginUnheard(): Promise<{
  readonly fleet: StreamFleet;
  readonly heard: readonly StreamHost[];
  readonly takers: readonly StreamHost[];
  readonly ids: readonly string[];
}> {
  const fleet = new StreamFleet(HOSTS, HALLS);
  await fleet.settle("v1");
  const heard = fleet.hosts.slice(0, -TAKERS);
  const takers = fleet.hosts.slice(-TAKERS);
  fleet.isCut = (from, to) => takers.includes(from) !== takers.includes(to);
  fleet.listAt(heard, ["v1", "v2"]);
  await fleet.run(JOINED_MS);
  const ids = Array.from({ length: STREAMS }, (_, at) => `stream-${at}`);
  for (const [at, id] of ids.entries()) {
    const origin = heard[at % heard.length];
    void origin?.streams.note(stream(id), "v2", STREAM_TTL_MS)
      .then(() => origin.streams.noteBegun(stream(id)));
  }
  await fleet.run(RUNNING_MS);
  return { fleet, heard, takers, ids };
}

/** The streams that a host would continue at another version than theirs. */
async function joinedAt(
  { fleet, takers, ids }: Awaited<ReturnType<typeof beginUnheard>>,
): Promise<string[]> {
  const joined: string[] = [];
  for (const [at, id] of ids.entries()) {
    const taker = takers[at % takers.length];
    assert.ok(taker);
    const binding = await fleet.resolve(taker, stream(id), RESOLVED_MS);
    const isJoined = binding.type === "bound" &&
      binding.softwareVersion !== "v2";
    if (isJoined) joined.push(id);
  }
  return joined;
}

// Guards against two hosts that went on together and confirm each other.
test("hosts that stood still while a version joined don't speak for the one before when the others have ended", async () => {
  const begun = await beginUnheard();
  for (const host of begun.heard) host.isAlive = false;
  begun.fleet.isCut = () => false;
  for (const host of begun.takers) host.entries = listing("v1", "v2");
  assert.deepEqual(await joinedAt(begun), []);
});

test("a stream goes on at the version before when one host has ended", async () => {
  const fleet = new StreamFleet(HOSTS, HALLS);
  await fleet.settle("v1");
  const [origin, ...others] = fleet.hosts;
  assert.ok(origin);
  const ids = Array.from({ length: STREAMS }, (_, at) => `stream-${at}`);
  for (const id of ids) {
    void origin.streams.note(stream(id), "v1", STREAM_TTL_MS);
  }
  origin.isAlive = false;
  fleet.listAt(others, ["v1", "v2"]);
  for (const [at, id] of ids.entries()) {
    const taker = others[at % others.length];
    assert.ok(taker);
    const binding = await fleet.resolve(taker, stream(id), RESOLVED_MS);
    assert.deepEqual(binding, bound("v1"), id);
  }
});
