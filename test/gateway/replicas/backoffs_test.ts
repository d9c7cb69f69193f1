/** Pauses that replicas ask this host for; in virtual time. */
import assert from "node:assert/strict";
import { test } from "node:test";
import * as fc from "fast-check";
import { Backoffs } from "../../../src/gateway/replicas/backoffs.ts";
import "../../fixed_seed.ts";

const calm = () => new Backoffs(() => 0);

test("a pause lasts as long as the replica asks for, and ends by time alone", () => {
  const backoffs = calm();
  assert.equal(backoffs.ask("a", 3000, 100), true);
  assert.equal(backoffs.leftMs("a", 100), 3000);
  // It was sent before the replica asked.
  backoffs.noteTaken("a", 50);
  assert.equal(backoffs.leftMs("a", 1100), 2000);
  assert.equal(backoffs.leftMs("a", 3100), 0);
  assert.equal(backoffs.leftMs("b", 100), 0);
});

test("of pauses that overlap the one that ends last holds", () => {
  const backoffs = calm();
  backoffs.ask("a", 3000, 0);
  assert.equal(backoffs.ask("a", 500, 1000), false);
  assert.equal(backoffs.leftMs("a", 1000), 2000);
  backoffs.ask("a", 3000, 2000);
  assert.equal(backoffs.leftMs("a", 2000), 3000);
});

test("a pause of a year ends, and one of no time is none", () => {
  const backoffs = calm();
  backoffs.ask("a", 365 * 24 * 3600 * 1000, 0);
  assert.equal(backoffs.leftMs("a", 600_000), 0);
  assert.equal(backoffs.ask("b", 0, 0), false);
  assert.equal(backoffs.size, 1);
});

test("after a pause one request tries the replica, until it has taken one", () => {
  const backoffs = calm();
  backoffs.ask("a", 1000, 0);
  assert.equal(backoffs.trialMs("a", 1000), 0);
  backoffs.noteSend("a", 1000);
  assert.equal(backoffs.trialMs("a", 1001), 499);
  // It never answered.
  assert.equal(backoffs.trialMs("a", 1500), 0);
  backoffs.noteSend("a", 1500);
  backoffs.noteTaken("a", 1500);
  assert.equal(backoffs.trialMs("a", 1501), 0);
  assert.equal(backoffs.size, 0);
});

test("hosts that were asked at once come back over a while", () => {
  const ends = [0, 0.5, 0.999].map((chance) => {
    const backoffs = new Backoffs(() => chance);
    backoffs.ask("a", 3000, 0);
    return backoffs.leftMs("a", 0);
  });
  assert.deepEqual(ends, [3000, 3150, 3299.7]);
});

test("no pause that was asked for is ever cut short", () => {
  const asks = fc.array(
    fc.record({
      forMs: fc.integer({ min: 0, max: 5000 }),
      afterMs: fc.integer({ min: 0, max: 2000 }),
      what: fc.constantFrom("ask", "send", "taken"),
    }),
    { maxLength: 40 },
  );
  fc.assert(
    fc.property(asks, fc.double({ min: 0, max: 0.999, noNaN: true }), (
      steps,
      chance,
    ) => {
      const backoffs = new Backoffs(() => chance);
      let now = 0;
      let until = 0;
      for (const { forMs, afterMs, what } of steps) {
        now += afterMs;
        if (what === "ask") {
          backoffs.ask("a", forMs, now);
          until = Math.max(until, forMs > 0 ? now + forMs : 0);
        } else if (what === "send") backoffs.noteSend("a", now);
        else backoffs.noteTaken("a", now - forMs);
        assert.ok(backoffs.leftMs("a", now) >= until - now);
      }
    }),
  );
});
