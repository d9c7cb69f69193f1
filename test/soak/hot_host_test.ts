/**
 * Guards against a host that serves less of what it reads while most new
 * connections go to it and callers open more of them.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { xoroshiro128plus } from "pure-rand";
import type { CallResult } from "./call.ts";
import { runCaller } from "./callers.ts";
import { callerHosts } from "./fleet.ts";
import { sleep } from "./sleep.ts";
import {
  BUDGET_AGE_MS,
  isServed,
  type TestFleet,
  withFleet,
} from "./test_fleet.ts";

const CALLERS = 24;
/** The hosts have this time to adapt. */
const SETTLING_MS = 3000;
const CROWD_MS = 6000;
const BEFORE_MS = 3000;
/** Least share of the requests served, against the share before. */
const MIN_SERVED = 0.75;
const MIN_SAMPLE = 100;

function startCallers(
  { hosts: fleet, world }: TestFleet,
  results: CallResult[],
  isStopped: () => boolean,
): Promise<void>[] {
  const hosts = callerHosts(fleet);
  return Array.from({ length: CALLERS }, (_, at) =>
    runCaller({
      hosts,
      random: xoroshiro128plus(at),
      name: `c${at}`,
      hotHost: () => world.balance.hotHost,
      isInRotation: () => true,
      isStopped,
      onResult: (result) => results.push(result),
    }));
}

function servedShare(results: readonly CallResult[]): number {
  const read = results.filter(({ status, isAborted }) =>
    status !== 0 && !isAborted
  );
  assert.ok(read.length >= MIN_SAMPLE, `${read.length} requests`);
  return read.filter(isServed).length / read.length;
}

test("a host that gets most new connections serves what it reads", async () => {
  await withFleet(async (fleet) => {
    const results: CallResult[] = [];
    let isStopped = false;
    const callers = startCallers(fleet, results, () => isStopped);
    await sleep(BUDGET_AGE_MS);
    const startedAt = performance.now();
    const hot = fleet.hosts[0]?.process.name ?? "";
    const undo = fleet.world.balance.concentrate(hot);
    await sleep(CROWD_MS);
    undo();
    const endedAt = performance.now();
    isStopped = true;
    await Promise.all(callers);
    const before = results.filter(({ sentAtMs }) =>
      sentAtMs > startedAt - BEFORE_MS && sentAtMs <= startedAt
    );
    const during = results.filter(({ host, sentAtMs }) =>
      host === hot && sentAtMs > startedAt + SETTLING_MS && sentAtMs < endedAt
    );
    const [shareBefore, share] = [before, during].map(servedShare);
    assert.ok(
      (share ?? 0) >= MIN_SERVED * (shareBefore ?? 1),
      `${share} of the requests after ${shareBefore} before`,
    );
  });
});
