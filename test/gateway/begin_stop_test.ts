/**
 * Guards against a stop that is counted from the moment at which its signal was
 * handled, and against one that ends requests long before the grace period does.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { beginStop } from "../../src/gateway/begin_stop.ts";

const GRACE_MS = 8000;
/** Open requests are ended this long before the end of the grace period. */
const EXIT_MARGIN_MS = 500;
const NOW = 100_000;

/** Begins a stop whose signal waited for up to `maxEventAgeMs`. */
function begin(maxEventAgeMs: number) {
  const stop: { requestedAt?: number; graceMs: number } = { graceMs: GRACE_MS };
  const clock = { now: () => NOW, after: () => () => undefined };
  const iterations = { maxEventAgeMs } as Parameters<
    typeof beginStop
  >[0]["iterations"];
  return { ...beginStop({ clock, stop, iterations }), stop };
}

test("a stop counts from the earliest moment at which its signal can have come", () => {
  const { deadline, stop } = begin(300);
  assert.equal(stop.requestedAt, NOW - 300);
  assert.equal(deadline, NOW - 300 + GRACE_MS - EXIT_MARGIN_MS);
});

// Streams were cut 1.7 s before the grace period ended.
test("a loop that was busy for long before the signal shortens the stop little", () => {
  const { deadline } = begin(2500);
  assert.ok(deadline - NOW >= GRACE_MS * 5 / 6);
});
