/** What owners of a replica's limit give out, for whatever rate and share. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import {
  LEAST_PER_SECOND,
  limitAllowance,
} from "../../../src/gateway/limits/allowance.ts";
import { mostAllowed } from "../../platform/rate_windows.ts";

const SPAN_MS = 4000;

const anyRate = fc.oneof(
  fc.constant(0),
  fc.double({ min: 0, max: 2, noNaN: true }),
  fc.double({ min: 2, max: 5000, noNaN: true }),
);

test("an owner's part of a limit is its share in the long run, and whole requests", () => {
  const share = fc.double({ min: 0.002, max: 1, noNaN: true });
  fc.assert(fc.property(anyRate, share, (perSecond, part) => {
    const { units, windowMs } = limitAllowance(perSecond, part);
    assert.ok(units >= 1 && Number.isInteger(units));
    const rate = units / windowMs * 1000;
    const meant = Math.max(LEAST_PER_SECOND, perSecond) * part;
    assert.ok(Math.abs(rate - meant) <= meant * 1e-9);
  }));
});

test("sides of a split fleet together stay within the bound of a limit", () => {
  const sizes = fc.array(fc.integer({ min: 1, max: 30 }), {
    minLength: 1,
    maxLength: 4,
  });
  fc.assert(fc.property(anyRate, sizes, (perSecond, sides) => {
    const hosts = sides.reduce((sum, one) => sum + one, 0);
    // A span may hold the end of one window and the start of the next.
    const most = sides.reduce((sum, size) => {
      const { units, windowMs } = limitAllowance(perSecond, size / hosts);
      return sum + (windowMs >= SPAN_MS ? units : units * SPAN_MS / windowMs);
    }, 0);
    assert.ok(most <= mostAllowed(Math.max(LEAST_PER_SECOND, perSecond)));
  }));
});

test("an owner that nobody names gives nothing", () => {
  assert.equal(limitAllowance(1.4, 0).units, 0);
});
