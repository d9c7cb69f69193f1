/**
 * Guards against a host that still waits for the load balancer when its grace
 * period has ended, and is then killed with its requests unanswered.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Clock } from "../../src/gateway/clock.ts";
import { drainHost } from "../../src/gateway/drain_host.ts";

const REQUESTED_AT = 1000;

/** A clock that jumps to each of its timers at once. */
function jumpingClock(): Clock {
  let now = REQUESTED_AT;
  return {
    now: () => now,
    after: (delayMs, callback) => {
      now += Math.max(0, delayMs);
      setImmediate(callback);
      return () => undefined;
    },
  };
}

/** How long after the signal a host begins to end its requests. */
async function drainedAfterMs(graceMs: number): Promise<number> {
  const clock = jumpingClock();
  let drainedAt = NaN;
  await drainHost({
    clock,
    deadline: REQUESTED_AT + graceMs,
    callers: {
      refuseLate: () => Promise.resolve(),
      drain: (_, deadline) => {
        drainedAt = Math.max(clock.now(), deadline);
        return Promise.resolve({
          cut: 0,
          refused: 0,
          unsent: 0,
          unstarted: 0,
          unfinished: 0,
        });
      },
    },
    tunnels: { size: 0, announceStop: () => undefined },
  });
  return drainedAt - REQUESTED_AT;
}

test("a host whose grace period is shorter than the balancer's delay ends in time", async () => {
  for (const graceMs of [500, 2000, 7500]) {
    assert.equal(await drainedAfterMs(graceMs), graceMs);
  }
});
