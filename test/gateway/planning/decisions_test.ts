/**
 * Guards against changes of decisions by what only makes them cheaper: the
 * answers to random loads are those that are recorded here. A change that is
 * meant to decide otherwise records them anew.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { playRandomLoad } from "./random_load.ts";

/** The digests of the loads of the seeds 1, 2 and so on. */
const RECORDED = [
  "7c11e32d3479ab7c",
  "0682721a9192b906",
  "541f8a44c3e7b5b0",
  "2ee3695b4d2c2f5f",
  "b5528c5f074e2468",
  "3a11365c04578977",
  "9d2df5252f22cc45",
  "fbc89c3286501c38",
  "c7dbf924633375cc",
  "e6134df124851685",
  "095b1f79292e94b6",
  "cd364aa44d7817d3",
  "a603041eb584a727",
  "f89535f148f883e3",
  "2a998bb0ecab80d4",
  "acdd72adaa38982b",
  "cb7aaa52c4a30779",
  "52ba0820d5810f75",
  "6a71634b4c2ef162",
  "3134887514b4664f",
  "5680f02aabe74a9e",
  "fbf6c93319274900",
  "b05a03fea1b464e3",
  "e8de6ea3c0bfa149",
];
/** Requests that wait at once in at least one of the loads. */
const LONG_QUEUE = 100;

test("the decisions about random loads are those recorded", () => {
  const played = RECORDED.map((_, index) => playRandomLoad(index + 1));
  const longest = Math.max(...played.map(({ mostWaiting }) => mostWaiting));
  assert.ok(longest >= LONG_QUEUE, `${longest} waiting`);
  assert.deepEqual(played.map(({ digest }) => digest), RECORDED);
});
