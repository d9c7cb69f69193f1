/** Timers of the system clock. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { knownRed } from "../known_red.ts";
import { sleep, systemClock } from "../../src/gateway/clock.ts";

const TIMER_LIMIT_MS = 2 ** 31;

// Guards against requests that time out at once on a route with a long timeout.
const LONG = "a timer that Node.js can't hold does not fire at once";
test(LONG, knownRed(LONG), async () => {
  for (const delayMs of [TIMER_LIMIT_MS, 1e12, Infinity]) {
    let hasFired = false;
    const cancel = systemClock.after(delayMs, () => hasFired = true);
    await sleep(systemClock, 20);
    cancel();
    assert.ok(!hasFired, String(delayMs));
  }
});
