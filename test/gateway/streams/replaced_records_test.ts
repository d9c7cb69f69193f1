/**
 * Guards against a keeper that missed the later record of a stream and resumes
 * it at the version of the earlier one.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  stream,
  STREAM_TTL_MS,
  type StreamFleet,
  type StreamHost,
} from "./stream_fleet.ts";
import { mixedFleet } from "./stream_workload.ts";

/** Longest time after which a host decides whether a stream begins. */
const LONGEST_WAIT_MS = 250;
/** The latency between hosts that are short of processor time. */
const SLOW_LATENCY_MS = 60;

/** Lets calls that wait for each other pass. */
async function runInSteps(fleet: StreamFleet, forMs: number): Promise<void> {
  for (let spentMs = 0; spentMs < forMs; spentMs++) await fleet.run(1);
}

/**
 * Sends a stream to v1, and then to v2 while one host does not respond to the
 * first; returns whether it begins there.
 */
async function sendTwice(
  fleet: StreamFleet,
  missing: StreamHost,
): Promise<boolean | undefined> {
  const origin = fleet.host(0);
  void origin.streams.note(stream("a"), "v1", STREAM_TTL_MS);
  await runInSteps(fleet, LONGEST_WAIT_MS);
  fleet.isCut = (from, to) => from === origin && to === missing;
  let mayBegin: boolean | undefined;
  void origin.streams.note(stream("a"), "v2", STREAM_TTL_MS)
    .then((result) => mayBegin = result);
  await runInSteps(fleet, LONGEST_WAIT_MS + 1);
  return mayBegin;
}

test("a stream that began at another version is not resumed by a keeper that missed it", async () => {
  const { hosts } = await mixedFleet();
  let begun = 0;
  for (const at of hosts.keys()) {
    if (at === 0) continue;
    const fleet = await mixedFleet();
    const missing = fleet.host(at);
    if (!await sendTwice(fleet, missing)) continue;
    begun += 1;
    // Only that host responds to the one that takes the stream up.
    fleet.host(0).isAlive = false;
    fleet.isCut = (_, to) => to !== missing;
    for (const taker of fleet.hosts.slice(1)) {
      const binding = await fleet.resolve(taker, stream("a"));
      assert.notDeepEqual(binding, { type: "bound", softwareVersion: "v1" });
    }
  }
  assert.ok(begun >= hosts.length / 2, `${begun} of ${hosts.length}`);
});

test("a keeper that missed the later record gets it once it responds again", async () => {
  const fleet = await mixedFleet();
  for (const missing of fleet.hosts.slice(1)) {
    await sendTwice(fleet, missing);
    fleet.isCut = () => false;
    await runInSteps(fleet, 1000);
    const binding = await fleet.resolve(missing, stream("a"));
    assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
  }
});

test("a spare with the earlier record waits for slow keepers with the later one", async () => {
  const { hosts } = await mixedFleet();
  let spares = 0;
  for (const at of hosts.keys()) {
    if (at === 0) continue;
    const fleet = await mixedFleet();
    const [origin, slow] = [fleet.host(0), fleet.host(at)];
    fleet.isCut = (from, to) => from === origin && to === slow;
    void origin.streams.note(stream("a"), "v1", STREAM_TTL_MS);
    await runInSteps(fleet, 2 * LONGEST_WAIT_MS);
    fleet.isCut = () => false;
    let mayBegin: boolean | undefined;
    void origin.streams.note(stream("a"), "v2", STREAM_TTL_MS)
      .then((result) => mayBegin = result);
    await runInSteps(fleet, LONGEST_WAIT_MS + 1);
    if (!mayBegin) continue;
    origin.isAlive = false;
    fleet.latencyMs = SLOW_LATENCY_MS;
    for (const taker of fleet.hosts.slice(1)) {
      const binding = await fleet.resolve(taker, stream("a"));
      assert.deepEqual(binding, { type: "bound", softwareVersion: "v2" });
      spares += 1;
    }
  }
  assert.ok(spares >= hosts.length, `${spares}`);
});
