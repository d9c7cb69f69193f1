/**
 * Guards against a part that crashes many replicas, and against refusing requests
 * while replicas crash for other causes, in random traffic in virtual time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import {
  type CrashWorldOptions,
  type CrashWorldResult,
  playCrashWorld,
} from "./crash_world.ts";

const SEEDS = 10;
/** From this crash on the time runs in which hosts learn of the crashes. */
const COUNTED_CRASH = 5;
const PROPAGATION_MS = 3000;
const MAX_LATE_SENDS = 3;
/** Share of the ordinary requests that may be refused. */
const MAX_REFUSED_SHARE = 0.01;
const WORLD = {
  durationMs: 40_000,
  replicas: 6,
  ordinaryRate: 9,
  crashingRate: 0,
  crashingFromMs: 10_000,
  otherCrashRate: 0,
  routes: 3,
  documents: 20,
  isResumable: false,
};

async function playAll(
  options: Partial<CrashWorldOptions>,
): Promise<CrashWorldResult[]> {
  const results: CrashWorldResult[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    results.push(await playCrashWorld({ ...WORLD, ...options, seed }));
  }
  return results;
}

function countLateSends(
  { crashTimes, crashingSends }: CrashWorldResult,
): number {
  const counted = crashTimes[COUNTED_CRASH - 1] ?? Infinity;
  return crashingSends.filter((at) => at > counted + PROPAGATION_MS).length;
}

function refusedShare(results: readonly CrashWorldResult[]): number {
  let refused = 0;
  let sent = 0;
  for (const { refusedAt, ordinary } of results) {
    refused += refusedAt.length;
    sent += ordinary;
  }
  return refused / sent;
}

for (
  const [crashingRate, isResumable] of [
    [0.3, false],
    [1, false],
    [2.5, false],
    [1, true],
  ] as const
) {
  test(`${crashingRate} requests a second with a part that crashes replicas are soon refused, resumable: ${isResumable}`, async () => {
    const results = await playAll({ crashingRate, isResumable });
    for (const result of results) {
      assert.ok(countLateSends(result) <= MAX_LATE_SENDS);
    }
    assert.ok(refusedShare(results) <= MAX_REFUSED_SHARE);
  });
}

for (const isResumable of [false, true]) {
  test(`hardly a request is refused while a replica crashes every second for other causes, resumable: ${isResumable}`, async () => {
    const results = await playAll({ otherCrashRate: 1, isResumable });
    assert.ok(refusedShare(results) <= MAX_REFUSED_SHARE);
  });
}
