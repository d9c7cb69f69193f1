/**
 * Guards against streams that go on at another software version, or that are
 * rejected although they could go on, after all hosts of a fleet have ended.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { attemptStream } from "./attempt_stream.ts";
import type { CallResult } from "./call.ts";
import type { FleetHost } from "./fleet.ts";
import {
  findMixedStreams,
  findResumption,
  hasEvents,
  MIN_RESUMPTIONS,
} from "./resumptions.ts";
import { sleep } from "./sleep.ts";
import { type TestFleet, waitUntilServing, withFleet } from "./test_fleet.ts";
import { FIRST_SOFTWARE_VERSION } from "./world.ts";

const NEXT_SOFTWARE_VERSION = "next";
/** Within this time all hosts have listed and recorded a version. */
const LISTED_MS = 2500;
const STREAMS = 40;
const STREAM_INTERVAL_MS = 30;
/** Streams run for four seconds. */
const SLOWDOWN = 5;
/** From the start of the last stream to the end of the hosts. */
const RUNNING_MS = 1300;
const RELEASED_MS = 300;
const DOWNTIME_MS = 1000;
/** From the listing of a version to the end of all hosts. */
const JUST_LISTED_MS = 1500;
/** How long a caller goes on trying, which covers the start of the hosts. */
const RETRIES_MS = 6000;
const RETRY_INTERVAL_MS = 250;

type Stream = { readonly id: string; readonly result: Promise<CallResult> };

function hostAt({ hosts }: TestFleet, at: number): FleetHost {
  const host = hosts[at % hosts.length];
  assert.ok(host);
  return host;
}

async function beginStreams(fleet: TestFleet): Promise<Stream[]> {
  const streams: Stream[] = [];
  for (let at = 0; at < STREAMS; at++) {
    const id = `stream-${at}`;
    streams.push({ id, result: attemptStream(hostAt(fleet, at), { id }) });
    await sleep(STREAM_INTERVAL_MS);
  }
  return streams;
}

/** Ends hosts at the same moment and waits until they serve again. */
async function restart(
  hosts: readonly FleetHost[],
  version: number,
): Promise<void> {
  await Promise.all(hosts.map(({ process }) => process.kill()));
  await sleep(DOWNTIME_MS);
  for (const { process } of hosts) process.start();
  for (const host of hosts) await waitUntilServing(host, version);
}

/** Takes the streams up that have broken, each at another host. */
async function resume(
  fleet: TestFleet,
  streams: readonly Stream[],
): Promise<{ readonly broken: CallResult[]; readonly resumed: CallResult[] }> {
  const broken: CallResult[] = [];
  const resumed = await Promise.all(streams.map(async ({ id, result }, at) => {
    const first = await result;
    const resumption = findResumption(first);
    if (!resumption) return [];
    broken.push(first);
    const host = hostAt(fleet, at + 1);
    return [await attemptStream(host, { id: `${id}-resumed`, resumption })];
  }));
  return { broken, resumed: resumed.flat() };
}

/** Takes one stream up at host after host until it goes on or time is over. */
async function resumeEarly(
  fleet: TestFleet,
  { id, result }: Stream,
  at: number,
): Promise<CallResult[]> {
  const attempts = [await result];
  const endsAt = performance.now() + RETRIES_MS;
  for (let count = 1; performance.now() < endsAt; count++) {
    const last = attempts.at(-1);
    const resumption = last && findResumption(last);
    if (!resumption) break;
    const options = { id: `${id}-${count}`, resumption };
    attempts.push(await attemptStream(hostAt(fleet, at + count), options));
    await sleep(RETRY_INTERVAL_MS);
  }
  return attempts;
}

/** Starts replicas of a second version beside those of the first. */
async function addNextVersion({ world }: TestFleet): Promise<void> {
  await world.addEngine(NEXT_SOFTWARE_VERSION);
  for (const { standin } of world.replicas) standin.slowdown = SLOWDOWN;
  await sleep(LISTED_MS);
}

/** Removes the entries of the first version, whose replicas go on serving. */
async function unlistFirstVersion({ world }: TestFleet): Promise<void> {
  for (const { standin, softwareVersion } of world.replicas) {
    if (softwareVersion !== FIRST_SOFTWARE_VERSION) continue;
    if (standin.role === "plain") continue;
    world.store.remove("servers", standin.id);
  }
  await sleep(RELEASED_MS);
}

const ENDED_VERSION =
  "streams of a version that left the listing before all hosts were killed don't go on at another";
test(ENDED_VERSION, knownRed(ENDED_VERSION), async () => {
  await withFleet(async (fleet) => {
    await addNextVersion(fleet);
    const streams = await beginStreams(fleet);
    await sleep(RUNNING_MS);
    await unlistFirstVersion(fleet);
    await restart(fleet.hosts, fleet.world.version);
    const { broken, resumed } = await resume(fleet, streams);
    assert.ok(resumed.length >= MIN_RESUMPTIONS, `${resumed.length}`);
    assert.deepEqual(findMixedStreams([...broken, ...resumed]), []);
  });
});

const JUST_RELEASED =
  "streams of a version that leaves while all hosts are down don't go on at the one that had just come";
test(JUST_RELEASED, knownRed(JUST_RELEASED), async () => {
  await withFleet(async (fleet) => {
    const { world, hosts } = fleet;
    for (const { standin } of world.replicas) standin.slowdown = SLOWDOWN;
    const streams = await beginStreams(fleet);
    const all = streams.map((stream, at) => resumeEarly(fleet, stream, at));
    await world.addEngine(NEXT_SOFTWARE_VERSION);
    await sleep(JUST_LISTED_MS);
    await Promise.all(hosts.map(({ process }) => process.kill()));
    await unlistFirstVersion(fleet);
    await sleep(DOWNTIME_MS);
    for (const { process } of hosts) process.start();
    const attempts = (await Promise.all(all)).flat();
    const resumed = attempts.filter(({ resumption }) => resumption);
    assert.ok(resumed.length >= MIN_RESUMPTIONS, `${resumed.length}`);
    assert.deepEqual(findMixedStreams(attempts), []);
  });
});

const ONE_BY_ONE =
  "streams of a version that left the listing don't go on at another while hosts are killed one after the other";
test(ONE_BY_ONE, knownRed(ONE_BY_ONE), async () => {
  await withFleet(async (fleet) => {
    await addNextVersion(fleet);
    const streams = await beginStreams(fleet);
    await sleep(RUNNING_MS);
    await unlistFirstVersion(fleet);
    for (const host of fleet.hosts) {
      await restart([host], fleet.world.version);
    }
    const { broken, resumed } = await resume(fleet, streams);
    assert.ok(resumed.length >= MIN_RESUMPTIONS, `${resumed.length}`);
    assert.deepEqual(findMixedStreams([...broken, ...resumed]), []);
  });
});

const SIDE_BY_SIDE =
  "streams of two versions side by side go on after all hosts were killed";
test(SIDE_BY_SIDE, knownRed(SIDE_BY_SIDE), async () => {
  await withFleet(async (fleet) => {
    await addNextVersion(fleet);
    const streams = await beginStreams(fleet);
    await sleep(RUNNING_MS);
    await restart(fleet.hosts, fleet.world.version);
    const { broken, resumed } = await resume(fleet, streams);
    assert.ok(resumed.length >= MIN_RESUMPTIONS, `${resumed.length}`);
    assert.deepEqual(findMixedStreams([...broken, ...resumed]), []);
    const wentOn = resumed.filter(hasEvents).length;
    const ratio = `${wentOn} of ${resumed.length}`;
    // All hosts and all replicas serve, so that each new stream begins.
    assert.ok(wentOn >= resumed.length / 2, ratio);
  });
});

const ONE_VERSION =
  "streams of the only version go on after all hosts were killed";
test(ONE_VERSION, knownRed(ONE_VERSION), async () => {
  await withFleet(async (fleet) => {
    for (const { standin } of fleet.world.replicas) {
      standin.slowdown = SLOWDOWN;
    }
    const streams = await beginStreams(fleet);
    await sleep(RUNNING_MS);
    await restart(fleet.hosts, fleet.world.version);
    const { resumed } = await resume(fleet, streams);
    assert.ok(resumed.length >= MIN_RESUMPTIONS, `${resumed.length}`);
    const wentOn = resumed.filter(hasEvents).length;
    const ratio = `${wentOn} of ${resumed.length}`;
    assert.ok(wentOn >= resumed.length / 2, ratio);
  });
});
