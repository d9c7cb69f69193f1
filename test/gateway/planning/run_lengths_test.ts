/** Expected run times, from callers' estimates that are often wrong. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { RunLengths } from "../../../src/gateway/planning/run_lengths.ts";

const KIND = { service: "s", priority: 1 };
const NOMINAL_MS = 1000;

function lengthsOf(ratios: readonly number[], kind = KIND): RunLengths {
  const lengths = new RunLengths();
  for (const ratio of ratios) {
    lengths.note(kind, NOMINAL_MS, ratio * NOMINAL_MS);
  }
  return lengths;
}

function remainingMs(lengths: RunLengths, elapsedMs: number, rank = 0.5) {
  return lengths.remainingMs(KIND, { nominalMs: NOMINAL_MS, elapsedMs, rank });
}

/** Ratios from a tenth to ten. */
const TENFOLD = Array.from(
  { length: 200 },
  (_, i) => 10 ** (i * 17 % 41 / 20 - 1),
);

test("corrects an estimate that is wrong by a constant factor", () => {
  const lengths = lengthsOf(new Array<number>(50).fill(0.03));
  const expectedMs = remainingMs(lengths, 0);
  assert.ok(expectedMs > 20 && expectedMs < 45, `${expectedMs} ms`);
});

test("expects more of a run the longer it has taken, if lengths are spread", () => {
  const lengths = lengthsOf(TENFOLD);
  const early = remainingMs(lengths, 0);
  const late = remainingMs(lengths, 4000);
  assert.ok(early > 700 && early < 1500, `${early} ms`);
  assert.ok(late > early, `${late} ms after 4 s`);
});

test("an overdue run's remaining time fades and never becomes zero", () => {
  const lengths = lengthsOf(new Array<number>(200).fill(1));
  const times = [20_000, 40_000, 80_000].map((at) => remainingMs(lengths, at));
  const [first = 0, second = 0, third = 0] = times;
  assert.ok(first > second && second > third && third > 0, times.join());
});

test("runs with evenly spread ranks end as the runs before them did", () => {
  const lengths = lengthsOf(TENFOLD);
  const ends = Array.from(
    { length: 100 },
    (_, index) => remainingMs(lengths, 0, (index + 0.5) / 100),
  );
  const shareBelow = (limit: number) =>
    ends.filter((end) => end <= limit).length / 100;
  assert.ok(Math.abs(shareBelow(1000) - 0.5) < 0.1);
  assert.ok(Math.abs(shareBelow(316) - 0.25) < 0.1);
});

test("a kind that has no runs yet is compared with the whole service", () => {
  const lengths = lengthsOf(new Array<number>(50).fill(3), {
    service: "s",
    priority: 2,
  });
  assert.ok(remainingMs(lengths, 0) > 2000);
});
