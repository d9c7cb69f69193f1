/**
 * Guards against streams that go on at another software version at a host that
 * stood still while replicas of that version joined.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { attemptStream } from "./attempt_stream.ts";
import type { CallResult } from "./call.ts";
import {
  findMixedStreams,
  findResumption,
  hasEvents,
  MIN_RESUMPTIONS,
} from "./resumptions.ts";
import { sleep } from "./sleep.ts";
import { withFleet } from "./test_fleet.ts";

const NEXT_SOFTWARE_VERSION = "next";
const HOSTS = 8;
/** After this time hosts have seen the listings of a whole window. */
const COVERED_MS = 62_000;
/** Within this time hosts have listed a version. */
const LISTED_MS = 1500;
const STREAMS = 60;
const STREAM_INTERVAL_MS = 10;
/** Streams run for four seconds. */
const SLOWDOWN = 5;
/** From the start of the last stream to the end of the other hosts. */
const RUNNING_MS = 900;

const STOOD_STILL =
  "streams of a version that joined while a host stood still don't go on at another one there";
test(STOOD_STILL, knownRed(STOOD_STILL), async () => {
  await withFleet(async ({ world, hosts }) => {
    const [late, ...others] = hosts;
    assert.ok(late);
    await sleep(COVERED_MS);
    late.process.pause();
    await world.addEngine(NEXT_SOFTWARE_VERSION);
    for (const { standin } of world.replicas) standin.slowdown = SLOWDOWN;
    await sleep(LISTED_MS);
    const streams: { id: string; result: Promise<CallResult> }[] = [];
    for (let at = 0; at < STREAMS; at++) {
      const host = others[at % others.length];
      assert.ok(host);
      const id = `stream-${at}`;
      streams.push({ id, result: attemptStream(host, { id }) });
      await sleep(STREAM_INTERVAL_MS);
    }
    await sleep(RUNNING_MS);
    late.process.resume();
    await Promise.all(others.map(({ process }) => process.kill()));
    const attempts = (await Promise.all(streams.map(async ({ id, result }) => {
      const broken = await result;
      const resumption = findResumption(broken);
      if (!resumption) return [broken];
      const options = { id: `${id}-resumed`, resumption };
      return [broken, await attemptStream(late, options)];
    }))).flat();
    const resumed = attempts.filter(({ resumption }) => resumption);
    assert.ok(resumed.length >= MIN_RESUMPTIONS, `${resumed.length}`);
    assert.deepEqual(findMixedStreams(attempts), []);
    const wentOn = resumed.filter(hasEvents).length;
    const ratio = `${wentOn} of ${resumed.length}`;
    // Replicas of both versions serve, and the host is alone but runs.
    assert.ok(wentOn >= resumed.length / 2, ratio);
  }, { hosts: HOSTS });
});
