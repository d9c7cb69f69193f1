/** Permits that owners of a replica's limit grant, for any rate and share. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import {
  limitAllowance,
  MIN_PER_SECOND,
} from "../../../src/gateway/limits/allowance.ts";
import { maxAllowed } from "../../platform/rate_windows.ts";

const SPAN_MS = 4000;

const anyRate = fc.oneof(
  fc.constant(0),
  fc.double({ min: 0, max: 2, noNaN: true }),
  fc.double({ min: 2, max: 5000, noNaN: true }),
);

test("an owner grants whole requests, on average its share of the limit", () => {
  const share = fc.double({ min: 0.002, max: 1, noNaN: true });
  fc.assert(fc.property(anyRate, share, (perSecond, part) => {
    const { units, windowMs } = limitAllowance(perSecond, part);
    assert.ok(units >= 1 && Number.isInteger(units));
    const rate = units / windowMs * 1000;
    const expected = Math.max(MIN_PER_SECOND, perSecond) * part;
    assert.ok(Math.abs(rate - expected) <= expected * 1e-9);
  }));
});

test("the sides of a partitioned fleet together stay within the bound of a limit", () => {
  const sizes = fc.array(fc.integer({ min: 1, max: 30 }), {
    minLength: 1,
    maxLength: 4,
  });
  fc.assert(fc.property(anyRate, sizes, (perSecond, sides) => {
    const hosts = sides.reduce((sum, size) => sum + size, 0);
    // A span may contain the end of one window and the start of the next.
    const total = sides.reduce((sum, size) => {
      const { units, windowMs } = limitAllowance(perSecond, size / hosts);
      return sum + (windowMs >= SPAN_MS ? units : units * SPAN_MS / windowMs);
    }, 0);
    assert.ok(total <= maxAllowed(Math.max(MIN_PER_SECOND, perSecond)));
  }));
});

test("an owner that no host chose grants nothing", () => {
  assert.equal(limitAllowance(1.4, 0).units, 0);
});
