/** Memory of a decode replica over time: none of it is given twice. */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { MemoryTimeline } from "../../../src/gateway/planning/memory_timeline.ts";

const MEMORY = 100;
const SLOTS = 4;

const run = fc.record({
  tokens: fc.integer({ min: 1, max: 100 }),
  from: fc.integer({ min: 0, max: 20 }),
  durationMs: fc.integer({ min: 1, max: 20 }),
});

test("places runs at the earliest time at which memory and a slot are free", () => {
  fc.assert(fc.property(fc.array(run, { maxLength: 12 }), (runs) => {
    const timeline = new MemoryTimeline({ memory: MEMORY, slots: SLOTS }, []);
    const placed: { start: number; end: number; tokens: number }[] = [];
    const fitsAt = (start: number, tokens: number, durationMs: number) => {
      for (let at = start; at < start + durationMs; at++) {
        const held = placed.filter((use) => use.start <= at && at < use.end);
        const sum = held.reduce((total, use) => total + use.tokens, 0);
        if (sum + tokens > MEMORY || held.length >= SLOTS) return false;
      }
      return true;
    };
    for (const { tokens, from, durationMs } of runs) {
      let expected = from;
      while (!fitsAt(expected, tokens, durationMs)) expected++;
      const start = timeline.earliestFit({ tokens, durationMs }, from);
      assert.equal(start, expected);
      placed.push({ start, end: start + durationMs, tokens });
      timeline.add({
        from: start,
        until: start + durationMs,
        tokensFrom: tokens,
        tokensUntil: tokens,
      });
    }
  }));
});

test("keeps memory free for what running requests are going to generate", () => {
  const growing = { from: 0, until: 100, tokensFrom: 20, tokensUntil: 80 };
  const timeline = new MemoryTimeline({ memory: MEMORY, slots: SLOTS }, [
    growing,
  ]);
  const fit = (durationMs: number) =>
    timeline.earliestFit({ tokens: 40, durationMs }, 0);
  assert.equal(fit(40), 0);
  assert.equal(fit(80), 100);
});

test("an idle replica accepts a request that is larger than its memory", () => {
  const timeline = new MemoryTimeline({ memory: MEMORY, slots: SLOTS }, [
    { from: 0, until: 50, tokensFrom: 10, tokensUntil: 10 },
  ]);
  const large = { tokens: MEMORY + 1, durationMs: 10 };
  assert.equal(timeline.earliestFit(large, 0), 50);
});

const use = fc.record({
  from: fc.integer({ min: 0, max: 20 }),
  durationMs: fc.integer({ min: 0, max: 24 }),
  tokensFrom: fc.integer({ min: 1, max: 60 }),
  growth: fc.constantFrom(0, 0, 8, 40),
}).map(({ from, durationMs, tokensFrom, growth }) => ({
  from,
  until: from + durationMs,
  tokensFrom,
  tokensUntil: tokensFrom + growth,
}));

test("runs that were removed leave nothing behind", () => {
  const uses = fc.array(use, { maxLength: 8 });
  fc.assert(fc.property(uses, uses, run, (kept, removed, query) => {
    const capacity = { memory: MEMORY, slots: SLOTS };
    const timeline = new MemoryTimeline(capacity, removed);
    for (const one of kept) timeline.add(one);
    for (const one of removed) timeline.remove(one);
    const anew = new MemoryTimeline(capacity, kept);
    for (let at = 0; at < 50; at++) {
      assert.equal(timeline.tokensAt(at), anew.tokensAt(at));
    }
    const { from } = query;
    assert.equal(
      timeline.earliestFit(query, from),
      anew.earliestFit(query, from),
    );
  }));
});

test("an opening is not later than any fit of as many tokens for as long", () => {
  const uses = fc.array(use, { maxLength: 10 });
  const longerMs = fc.nat({ max: 10 });
  fc.assert(fc.property(uses, run, longerMs, (held, query, moreMs) => {
    const capacity = { memory: MEMORY, slots: SLOTS };
    const timeline = new MemoryTimeline(capacity, held);
    const { from, durationMs } = query;
    const longer = { ...query, durationMs: durationMs + moreMs };
    const opening = timeline.earliestOpening(query, from);
    assert.ok(opening >= from);
    assert.ok(opening <= timeline.earliestFit(longer, from));
  }));
});
