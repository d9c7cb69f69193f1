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
  "be371c36918619f3",
  "ee10cac4216b6172",
  "b5773b76dbc06e09",
  "4ecc3aa03981ec5d",
  "7310847211cf07bb",
  "65d77b7887067166",
  "f4a6ed8435d1075c",
  "a6e9b6906c927b27",
  "0bfb2a9ae16e9e15",
  "d993fd57d66bcd7a",
  "7baebb894ee8cf40",
  "23b34dd112280b88",
  "21c3956ff49727de",
  "72683d6f9c186071",
  "f8d69cc5661d8675",
  "a643211ab36e2109",
  "ac936cce3320b731",
  "c80c05f7be753c71",
  "71293d8367819c23",
  "4fd467319c7770a6",
  "d2b32a694069d868",
  "5e788bbf1b7cabde",
  "7ce1a8291ca06450",
  "116fb52d7f7d07da",
];
/** Requests that wait at once in at least one of the loads. */
const LONG_QUEUE = 100;

test("the decisions about random loads are those recorded", () => {
  const played = RECORDED.map((_, index) => playRandomLoad(index + 1));
  const longest = Math.max(...played.map(({ mostWaiting }) => mostWaiting));
  assert.ok(longest >= LONG_QUEUE, `${longest} waiting`);
  assert.deepEqual(played.map(({ digest }) => digest), RECORDED);
});
