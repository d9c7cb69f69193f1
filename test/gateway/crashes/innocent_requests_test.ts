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
