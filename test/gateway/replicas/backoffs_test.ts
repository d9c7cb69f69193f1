/**
 * Backoffs requested by replicas: duration, overlap, trial requests, jitter.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { Backoffs } from "../../../src/gateway/replicas/backoffs.ts";
import "../../fixed_seed.ts";

const withoutJitter = () => new Backoffs(() => 0);

test("a backoff lasts as long as the replica requests, and only expiry ends it", () => {
  const backoffs = withoutJitter();
  assert.equal(backoffs.start("a", 3000, 100), true);
  assert.equal(backoffs.leftMs("a", 100), 3000);
  // The accepted request was sent before the backoff was requested.
  backoffs.noteAccepted("a", 50);
  assert.equal(backoffs.leftMs("a", 1100), 2000);
  assert.equal(backoffs.leftMs("a", 3100), 0);
  assert.equal(backoffs.leftMs("b", 100), 0);
});

test("of overlapping backoffs the one that ends last applies", () => {
  const backoffs = withoutJitter();
  backoffs.start("a", 3000, 0);
  assert.equal(backoffs.start("a", 500, 1000), false);
  assert.equal(backoffs.leftMs("a", 1000), 2000);
  backoffs.start("a", 3000, 2000);
  assert.equal(backoffs.leftMs("a", 2000), 3000);
});

test("a backoff is capped, and one of zero length is ignored", () => {
  const backoffs = withoutJitter();
  backoffs.start("a", 365 * 24 * 3600 * 1000, 0);
  assert.equal(backoffs.leftMs("a", 600_000), 0);
  assert.equal(backoffs.start("b", 0, 0), false);
  assert.equal(backoffs.size, 1);
});

test("after a backoff one trial request at a time is sent until one is accepted", () => {
  const backoffs = withoutJitter();
  backoffs.start("a", 1000, 0);
  assert.equal(backoffs.trialLeftMs("a", 1000), 0);
  backoffs.noteSend("a", 1000);
  assert.equal(backoffs.trialLeftMs("a", 1001), 499);
  // The first trial request is never answered.
  assert.equal(backoffs.trialLeftMs("a", 1500), 0);
  backoffs.noteSend("a", 1500);
  backoffs.noteAccepted("a", 1500);
  assert.equal(backoffs.trialLeftMs("a", 1501), 0);
  assert.equal(backoffs.size, 0);
});

test("random jitter extends backoffs that were requested at the same time", () => {
  const ends = [0, 0.5, 0.999].map((chance) => {
    const backoffs = new Backoffs(() => chance);
    backoffs.start("a", 3000, 0);
    return backoffs.leftMs("a", 0);
  });
  assert.deepEqual(ends, [3000, 3150, 3299.7]);
});

test("no backoff ends early", () => {
  const anySteps = fc.array(
    fc.record({
      forMs: fc.integer({ min: 0, max: 5000 }),
      afterMs: fc.integer({ min: 0, max: 2000 }),
      action: fc.constantFrom("backoff", "send", "accepted"),
    }),
    { maxLength: 40 },
  );
  fc.assert(
    fc.property(anySteps, fc.double({ min: 0, max: 0.999, noNaN: true }), (
      steps,
      chance,
    ) => {
      const backoffs = new Backoffs(() => chance);
      let now = 0;
      let until = 0;
      for (const { forMs, afterMs, action } of steps) {
        now += afterMs;
        if (action === "backoff") {
          backoffs.start("a", forMs, now);
          until = Math.max(until, forMs > 0 ? now + forMs : 0);
        } else if (action === "send") backoffs.noteSend("a", now);
        else backoffs.noteAccepted("a", now - forMs);
        assert.ok(backoffs.leftMs("a", now) >= until - now);
      }
    }),
  );
});
