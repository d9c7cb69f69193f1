/** Checks a host that gets responses without end. */
import assert from "node:assert/strict";
import type { FaultyCalls } from "./endless_replies.ts";
import {
  HOST_MEMORY_BYTES,
  type HostFigures,
  type LimitedHostOptions,
  withLimitedHost,
} from "./limited_host.ts";
import { sleep } from "./sleep.ts";

const RUN_MS = 4000;
/** With all tries; the host may close connections unread while it is busy. */
const MAX_SOUND_MS = 3000;

/** Requests whose responses have no end. */
export type EndlessCase = LimitedHostOptions & FaultyCalls;

/** Fails unless all hosts run on within their memory and serve others. */
export async function checkHost(
  { endless, isEngine, isByPeer = false, ...calls }: EndlessCase,
  runMs = RUN_MS,
): Promise<void> {
  const options = {
    endless,
    isByPeer,
    ...(isEngine === undefined ? {} : { isEngine }),
  };
  const figures = await withLimitedHost(options, async ({ callFaulty }) => {
    callFaulty(calls);
    await sleep(runMs);
  });
  assertWithinLimits(figures);
  const { sound: { slowestMs } } = figures;
  assert.ok(slowestMs < MAX_SOUND_MS, `Others waited for ${slowestMs} ms`);
}

/** Fails if a host has ended, exceeded its memory or not served others. */
export function assertWithinLimits(
  { exit, peakBytes, sound: { sent, statuses, slowestMs } }: HostFigures,
): void {
  const served = statuses.filter((status) => status === 200);
  console.log(
    `Peak ${Math.round(peakBytes / 1e6)} MB; others: ${served.length} of ` +
      `${sent} served, the slowest in ${Math.round(slowestMs)} ms`,
  );
  assert.equal(exit, undefined);
  assert.ok(peakBytes < HOST_MEMORY_BYTES, `Peak ${peakBytes} bytes`);
  assert.deepEqual(statuses, served);
}
