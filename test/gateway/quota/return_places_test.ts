/**
 * Above a quota, the same requests were refused again and again: all were told
 * the same time, and new requests took the units before they came back.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { quotaRule } from "../../../src/gateway/quota/bounds.ts";
import {
  type QuotaDecision,
  QuotaLedger,
} from "../../../src/gateway/quota/ledger.ts";
import { SHARD_COUNT } from "../../../src/gateway/quota/shards.ts";

const WINDOW_MS = 8000;
const PER_SECOND = 30_000;
const LIMIT = PER_SECOND * WINDOW_MS / 1000 + PER_SECOND;

/** An account with one host, without overshoot. */
function newLedger(): QuotaLedger {
  const bounds = { windowMs: WINDOW_MS, overshoot: 0, tolerance: 0 };
  const ledger = new QuotaLedger({
    allowance: quotaRule(() => bounds),
    retentionMs: () => WINDOW_MS,
    knownHosts: () => 1,
  });
  const shards = Array.from({ length: SHARD_COUNT }, (_, index) => index);
  ledger.setMember("h", { shards, upMs: 1e6, usage: [] }, 0);
  return ledger;
}

type Attempt = { key: string; units: number; returns: number };

type Load = {
  /** Units asked for, relative to the quota. */
  factor: number;
  sizes: readonly number[];
  longestMs: number;
  returns: boolean;
  hasPlaces?: boolean;
};

/**
 * Sends a load for 20 s; refused requests come back twice at most, at the times
 * told.
 */
function run(
  { factor, sizes, longestMs, returns, hasPlaces = true }: Load,
) {
  const ledger = newLedger();
  const due = new Map<number, Attempt[]>();
  const grants: { at: number; units: number }[] = [];
  const second = { asked: 0, granted: 0 };
  const latest = { retryMs: 0 };
  let owedUnits = 0;
  let count = 0;
  for (let now = 0; now < 20_000; now++) {
    owedUnits += PER_SECOND / 1000 * factor;
    const attempts: Attempt[] = due.get(now) ?? [];
    for (;;) {
      const units = sizes[count % sizes.length] ?? 1;
      if (owedUnits < units) break;
      owedUnits -= units;
      attempts.push({ key: `k${count++}`, units, returns: 0 });
    }
    for (const attempt of attempts) {
      const { key, units, returns: returned } = attempt;
      const decision: QuotaDecision = ledger.acquire({
        customer: "alpha",
        units,
        rate: { perSecond: PER_SECOND, burst: PER_SECOND },
        version: 1,
        mostWaitMs: 75,
        ...(hasPlaces ? { retry: { key, longestMs } } : {}),
      }, now);
      if (returned === 2) second.asked += 1;
      if (decision.type === "granted") {
        grants.push({ at: now + decision.afterMs, units });
        if (returned === 2) second.granted += 1;
        continue;
      }
      const { retryAfterMs } = decision;
      latest.retryMs = Math.max(latest.retryMs, retryAfterMs);
      // Without a place the last third of the longest delay is told.
      const hasPlace = retryAfterMs < longestMs * 0.66;
      if (!returns || returned === 2 || !hasPlace) continue;
      const backAt = Math.ceil(now + retryAfterMs);
      const next = { key, units, returns: returned + 1 };
      due.set(backAt, [...due.get(backAt) ?? [], next]);
    }
  }
  return { grants, second, latest, sum: sumOf(grants) };
}

function sumOf(grants: readonly { readonly units: number }[]): number {
  return grants.reduce((sum, { units }) => sum + units, 0);
}

const loads = fc.record({
  factor: fc.double({ min: 1.05, max: 6, noNaN: true }),
  sizes: fc.array(fc.integer({ min: 100, max: 6000 }), {
    minLength: 1,
    maxLength: 8,
  }),
  longestMs: fc.integer({ min: 700, max: 4600 }),
});

test("a request that is refused at its time is granted at the next one, however many new ones arrive", () => {
  let asked = 0;
  fc.assert(
    fc.property(loads, (load) => {
      const { second, latest } = run({ ...load, returns: true });
      assert.equal(second.granted, second.asked);
      assert.ok(latest.retryMs <= load.longestMs);
      asked += second.asked;
    }),
    { numRuns: 20 },
  );
  assert.ok(asked > 0);
});

test("no window exceeds the quota, whether refused requests come back or not", () => {
  const all = fc.tuple(loads, fc.boolean());
  fc.assert(
    fc.property(all, ([load, returns]) => {
      const { grants } = run({ ...load, returns });
      grants.sort((a, b) => a.at - b.at);
      let sum = 0;
      let oldest = 0;
      for (const { at, units } of grants) {
        sum += units;
        while ((grants[oldest]?.at ?? at) < at - WINDOW_MS) {
          sum -= grants[oldest++]?.units ?? 0;
        }
        assert.ok(sum <= LIMIT, `${sum} units in the window until ${at}`);
      }
    }),
    { numRuns: 20 },
  );
});

test("places that nobody claims cost at most 3% of what is granted", () => {
  for (const factor of [1.1, 2, 5]) {
    const load = { factor, sizes: [200], longestMs: 4000, returns: false };
    const kept = run(load).sum;
    const before = run({ ...load, hasPlaces: false }).sum;
    assert.ok(kept >= before * 0.97, `${kept} of ${before}`);
  }
});

/** Attempts until a large request is granted while small ones take each gap. */
function attemptsOfLarge(hasPlaces: boolean): number {
  const ledger = newLedger();
  const acquire = (key: string, units: number, now: number) =>
    ledger.acquire({
      customer: "alpha",
      units,
      rate: { perSecond: PER_SECOND, burst: PER_SECOND },
      version: 1,
      mostWaitMs: 75,
      ...(hasPlaces ? { retry: { key, longestMs: 4600 } } : {}),
    }, now);
  let attempts = 0;
  let nextAt = 11_000;
  for (let now = 0; now < 40_000; now++) {
    if (now >= nextAt) {
      attempts += 1;
      const decision = acquire("large", 15_000, now);
      if (decision.type === "granted") return attempts;
      nextAt = now + decision.retryAfterMs;
    }
    acquire(`small ${now}`, 60, now);
  }
  return attempts;
}

test("a large request is granted soon, though small ones take each gap", () => {
  assert.ok(attemptsOfLarge(false) > 10);
  assert.ok(attemptsOfLarge(true) <= 4);
});
