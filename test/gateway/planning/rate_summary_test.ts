/**
 * The parts of a summary of rates. Guards against messages that make a planner
 * fail or spoil its estimates, and against large messages.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { EjectionReason } from "../../../src/gateway/planning/ejection.ts";
import {
  formatRateSummary,
  parseRateSummary,
} from "../../../src/gateway/planning/rate_summary.ts";
import { RunLengths } from "../../../src/gateway/planning/run_lengths.ts";
import { Work } from "../../../src/gateway/planning/speed_model.ts";
import {
  decodePool,
  learned,
  PlannedLoad,
  POOL,
  type RatedPlanner,
  ratedPlanner,
  receive,
  SERVICE,
  SLOW,
  speeds,
  transmitted,
} from "./handover_rig.ts";
import { ledgerEntry } from "./ledger_rig.ts";

test("prefill times and rates are adopted, unless there are own ones", () => {
  const measured = (planner: RatedPlanner, spentMs: number, runs: number) => {
    for (let index = 0; index < runs; index++) {
      const promptTokens = index % 2 === 0 ? 1000 : 5000;
      const run = { decode: "d0", tokens: 1, outputTokens: 1, startedAt: 0 };
      const entry = { ...ledgerEntry(`x${index}`, run), promptTokens };
      planner.ledger.add({ ...entry, prefill: "d1", prefilledBy: "d1" });
      const ms = spentMs * promptTokens / 1000;
      planner.ledger.endPrefill(entry.id, ms, index);
      const prefill = { incarnation: "d1", tokens: promptTokens, spentMs: ms };
      planner.demand.prefillRates.note(prefill, index);
      const sample = { work: Work.prefill, unitMs: spentMs / 1000, weight: 1 };
      planner.measuredRates.state.of(SERVICE).speeds.add("d1", sample, index);
    }
  };
  const slopeOf = ({ ledger }: RatedPlanner) =>
    ledger.prefillLineOf("d1").slope * 1000;
  const last = ratedPlanner(POOL);
  measured(last, 100, 40);
  const summary = transmitted(last.rateHandover.summaryOf(SERVICE, 40));
  const next = ratedPlanner(POOL);
  receive(next, summary, { now: 40, ageMs: 0 });
  const [before, after] = [last, next].map(slopeOf);
  assert.ok(Math.abs((after ?? 0) - (before ?? 0)) < 1, `${before}: ${after}`);
  const rate = next.demand.prefillRates.rateOf("d1", 40) ?? 0;
  assert.ok(Math.abs(rate - 10_000) < 100, String(rate));
  measured(next, 30, 80);
  const own = slopeOf(next);
  assert.ok(own < 40, String(own));
  receive(next, summary, { now: 80, ageMs: 0 });
  assert.equal(slopeOf(next), own);
});

test("run lengths are adopted, unless there are own ones", () => {
  const kind = { service: SERVICE, priority: 1 };
  const lengthsOf = (ratio: number) => {
    const lengths = new RunLengths();
    for (let run = 0; run < 100; run++) lengths.note(kind, 1000, 1000 * ratio);
    return lengths;
  };
  const runMs = (lengths: RunLengths) =>
    lengths.remainingMs(kind, { nominalMs: 1000, elapsedMs: 0, rank: 0.5 });
  const summary = lengthsOf(8).summarize(SERVICE);
  const next = new RunLengths();
  next.adopt(SERVICE, summary);
  assert.ok(runMs(next) > 6000 && runMs(next) < 10_000, String(runMs(next)));
  const own = lengthsOf(1);
  const before = runMs(own);
  own.adopt(SERVICE, summary);
  assert.equal(runMs(own), before);
});

test("a summary with an invalid part is rejected as a whole", () => {
  const { load, summary } = learned(SLOW);
  const valid = summary as Record<string, unknown>;
  const replicas = valid["replicas"] as object[];
  const change = (part: object) => ({
    ...valid,
    replicas: [part, ...replicas],
  });
  const invalid: unknown[] = [
    undefined,
    {},
    { ...valid, units: [["decode", 0]] },
    { ...valid, units: [["sleep", 5]] },
    { ...valid, perToken: -1 },
    change({ id: "" }),
    change({ id: "d1", speed: [null, 1, 0, 1] }),
    change({ id: "d1", speed: [0, -1, 0, 1] }),
    change({ id: "d1", speed: [99, 1, 0, 1] }),
    change({ id: "d1", prefill: [1, 2] }),
    change({ id: "d1", ejected: ["angry", 0, 0] }),
    { ...valid, replicas: Array.from({ length: 61 }, () => ({ id: "d1" })) },
  ];
  for (const broken of invalid) {
    const next = ratedPlanner(POOL);
    receive(next, broken, load);
    assert.equal(next.counters.get("rate_handovers_rejected"), 1);
    assert.deepEqual(speeds(next, load.now), POOL.map(() => 1));
  }
});

test("whatever a planner has measured, the next one can read it", () => {
  const value = fc.double({ noNaN: true });
  const size = fc.double({ noNaN: true, min: 0 });
  const estimate = fc.record({
    steady: value,
    steadyWeight: size,
    recent: value,
    recentWeight: size,
  });
  const replica = fc.record({
    incarnation: fc.string({ minLength: 1, maxLength: 300 }),
    speed: estimate,
    firstEvent: estimate,
    prefill: fc.record({ shortMs: size, longMs: size, weight: size }),
    prefillRate: size,
    ejection: fc.record({
      reason: fc.constantFrom(...Object.values(EjectionReason)),
      level: fc.nat(),
      trialInMs: size,
    }),
  }, { requiredKeys: ["incarnation"] });
  const lengths = fc.record({
    priority: value,
    runs: fc.nat(),
    logScale: value,
    ratios: fc.array(size, { maxLength: 10 }),
  });
  const summary = fc.record({
    unitMs: fc.dictionary(fc.constantFrom(...Object.values(Work)), size)
      .map((units) => new Map(Object.entries(units)) as Map<Work, number>),
    eventsPerToken: fc.option(size, { nil: undefined }),
    lengths: fc.array(lengths),
    replicas: fc.array(replica, { maxLength: 250 }),
  });
  fc.assert(fc.property(summary, (drawn) => {
    const read = parseRateSummary(transmitted(formatRateSummary(drawn)));
    const readable = drawn.replicas.filter(({ incarnation }) =>
      incarnation.length <= 200
    );
    assert.equal(read?.replicas.length, Math.min(60, readable.length));
  }));
});

test("no message makes a planner fail or an estimate infinite", () => {
  const estimate = fc.tuple(
    fc.double(),
    fc.double({ min: 0 }),
    fc.double(),
    fc.double({ min: 0 }),
  );
  const replica = fc.record({
    id: fc.constantFrom("d0", "d1", "d2", "gone"),
    speed: estimate,
    first: estimate,
    prefill: fc.tuple(fc.double(), fc.double(), fc.double()),
    rate: fc.double(),
    ejected: fc.tuple(fc.constant("slow"), fc.nat(200), fc.double()),
  }, { requiredKeys: ["id"] });
  const summary = fc.oneof(
    fc.anything(),
    fc.record({
      units: fc.array(fc.tuple(fc.constantFrom("decode", "x"), fc.double())),
      lengths: fc.array(fc.record({
        runs: fc.integer(),
        logScale: fc.double(),
        ratios: fc.array(fc.double()),
      })),
      replicas: fc.array(replica),
    }),
  );
  fc.assert(fc.property(summary, fc.double(), (drawn, ageMs) => {
    const next = ratedPlanner(POOL);
    receive(next, drawn, { now: 1000, ageMs });
    const load = new PlannedLoad({ replicas: 8, share: 0.5, slownessOf: SLOW });
    load.play(next, 500);
    for (const speed of speeds(next, load.now)) {
      assert.ok(speed > 0 && Number.isFinite(speed), String(speed));
    }
  }));
});

test("a summary of a large pool has less than 8 KB, with the most different replicas", () => {
  const pool = decodePool(300);
  const planner = ratedPlanner(pool);
  const { speeds: model } = planner.measuredRates.state.of(SERVICE);
  pool.forEach(({ incarnation }, index) => {
    for (let sample = 0; sample < 10; sample++) {
      const unitMs = index === 299 ? 100 : 25 + index % 7;
      model.add(incarnation, { work: Work.decode, unitMs, weight: 1 }, 1000);
    }
  });
  const summary = planner.rateHandover.summaryOf(SERVICE, 1000);
  const text = JSON.stringify(summary);
  assert.ok(text.length < 8000, `${text.length} bytes`);
  assert.ok(text.includes("d299"));
});
