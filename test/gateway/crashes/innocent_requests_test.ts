/**
 * Guards against quarantines of requests and parts that merely run wherever
 * replicas crash for another cause. In virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../../known_red.ts";
import { StateFleet } from "../state/state_fleet.ts";
import {
  answer,
  countRefusing,
  crash,
  FORMED_MS,
  hostAt,
  type PromptRequest,
} from "./crash_reports.ts";
import { namedFingerprints } from "./named_fingerprints.ts";

const CRASH_INTERVAL_MS = 1300;
/** Equal requests of many callers, such as polls. */
const POLL: PromptRequest = { request: "poll", parts: [] };

const POLLS =
  "a request that is served all the time is not refused when three " +
  "replicas crash one after the other";
test(POLLS, knownRed(POLLS), async () => {
  const fleet = new StateFleet(9, 13);
  await fleet.runTo(FORMED_MS);
  for (let at = 0; at < 300; at++) answer(hostAt(fleet, at), POLL);
  for (let at = 0; at < 3; at++) {
    crash(hostAt(fleet, at), POLL, `replica ${at}`);
    await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
    assert.equal(countRefusing(fleet, POLL), 0, `${at + 1} crashes`);
  }
});

const OTHERS = "a request that only other hosts have served is not refused";
test(OTHERS, knownRed(OTHERS), async () => {
  const fleet = new StateFleet(9, 14);
  await fleet.runTo(FORMED_MS);
  for (let at = 0; at < 100; at++) answer(hostAt(fleet, 4 + at % 3), POLL);
  for (let at = 0; at < 3; at++) {
    crash(hostAt(fleet, at), POLL, `replica ${at}`);
    await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
  }
  assert.equal(countRefusing(fleet, POLL), 0);
});

test("one request is evidence against the parts of its prompt once, however many replicas crash under it", async () => {
  const fleet = new StateFleet(3, 15);
  await fleet.runTo(FORMED_MS);
  const parts = ["first", "middle"];
  for (const request of ["a crashing", "b crashing"]) {
    for (let at = 0; at < 3; at++) {
      crash(hostAt(fleet, at), { request, parts }, `${request} ${at}`);
      await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
    }
  }
  assert.equal(countRefusing(fleet, { request: "later", parts }), 0);
  assert.equal(countRefusing(fleet, { request: "b crashing", parts }), 3);
});

test("a part whose requests run for seconds while replicas crash for other causes is not refused", async () => {
  const fleet = new StateFleet(3, 16);
  await fleet.runTo(FORMED_MS);
  for (let at = 0; at < 8; at++) {
    const isOurs = at % 2 === 0;
    const parts = ["first", isOurs ? "middle" : `other ${at}`];
    const request = { request: `${at} request`, parts, ranMs: 2000 };
    crash(hostAt(fleet, at), request, `replica ${at}`);
    await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
  }
  const request = { request: "later", parts: ["first", "middle"] };
  assert.equal(countRefusing(fleet, request), 0);
});

test("a response with an error does not clear the parts of a prompt", async () => {
  const fleet = new StateFleet(3, 17);
  await fleet.runTo(FORMED_MS);
  const parts = ["first", "crashing"];
  const { crashes } = hostAt(fleet, 0).context;
  for (let at = 0; at < 5; at++) {
    crash(hostAt(fleet, at), { request: `${at} crashing`, parts }, `r ${at}`);
    crashes.noteAnswered(namedFingerprints(`${at} error`, parts), false);
    await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
  }
  assert.equal(countRefusing(fleet, { request: "later", parts }), 3);
});

test("a request that was served a few times doesn't hide one that crashes replicas beside it", async () => {
  const fleet = new StateFleet(3, 18);
  await fleet.runTo(FORMED_MS);
  for (let at = 0; at < 3; at++) answer(hostAt(fleet, at), POLL);
  const crashing = { request: "crashing", parts: [] };
  for (let at = 0; at < 6; at++) {
    crash(hostAt(fleet, at), POLL, `replica ${at}`);
    if (at % 2 === 0) crash(hostAt(fleet, at), crashing, `replica ${at}`);
    await fleet.runTo(fleet.now + CRASH_INTERVAL_MS);
  }
  assert.equal(countRefusing(fleet, POLL), 0);
  assert.equal(countRefusing(fleet, crashing), 3);
});
