/**
 * The simulation of a queue that is kept between passes. Guards against places
 * that differ from those of a simulation from scratch, and against work that
 * grows with the queue at each arrival.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import type { Ledger } from "../../../src/gateway/planning/ledger.ts";
import {
  type Place,
  PoolTimeline,
} from "../../../src/gateway/planning/pool_timeline.ts";
import {
  QueueSimulation,
  type WaitingRequest,
} from "../../../src/gateway/planning/queue_simulation.ts";
import { EQUAL_RATES } from "../../../src/gateway/planning/replica_rates.ts";
import { createLedger, learnedLengths, ledgerEntry } from "./ledger_rig.ts";
import { MEMORY, planRequest, replica } from "./planner_rig.ts";

const NOW = 10_000;
const DECODES = ["d0", "d1", "d2"].map((name) =>
  replica(name, ReplicaStage.decode)
);
const PREFILLS = ["p0", "p1"].map((name) =>
  replica(name, ReplicaStage.prefill)
);

/** Three decode replicas with the runs of a ledger. */
function timelineOf(ledger: Ledger): PoolTimeline {
  return new PoolTimeline({
    pool: {
      memory: MEMORY,
      healthyDecodes: DECODES,
      healthyPrefills: PREFILLS,
      prefillMs: (promptTokens) => promptTokens / 2,
    },
    ledger,
    rates: EQUAL_RATES,
    lengths: learnedLengths(),
    now: NOW,
    firstEventMs: 150,
  });
}

function fullLedger(): Ledger {
  return createLedger(
    Array.from({ length: 9 }, (_, index) => ({
      decode: `d${index % 3}`,
      tokens: MEMORY / 3 | 0,
      outputTokens: 20 + index * 12,
      startedAt: NOW - 300 + index * 31,
    })),
  );
}

/** A request whose place was taken, and when or as what. */
type Taken = {
  readonly queued: WaitingRequest;
  readonly at: number;
  /** Its place is given, since it had left when it was placed again. */
  readonly fixed?: Place;
};

/** Simulates the same as a `QueueSimulation`, from scratch each time. */
class Replay {
  readonly #ledger: Ledger;
  readonly #base: () => PoolTimeline;
  #log: Taken[] = [];

  constructor(ledger: Ledger, base: () => PoolTimeline) {
    this.#ledger = ledger;
    this.#base = base;
  }

  placeOf(
    queued: WaitingRequest,
    { ahead, granted }: {
      readonly ahead: readonly WaitingRequest[];
      readonly granted: readonly WaitingRequest[];
    },
    at: number,
  ): Place | undefined {
    const places = this.#replay().places;
    for (const run of granted) {
      if (this.#log.some((taken) => taken.queued === run)) continue;
      const entry = this.#ledger.get(run.request.id);
      const fixed = entry && this.#base().placeOfRun(entry, at);
      if (fixed) this.#log.push({ queued: run, at, fixed });
    }
    const wanted = [...ahead, queued];
    const kept: Taken[] = [];
    const moved: Taken[] = [];
    for (const [index, taken] of this.#log.entries()) {
      const waiting = kept.filter((one) => !one.queued.hasLeft).length;
      const isBehind = moved.length > 0 || kept.length < index;
      if (taken.queued.hasLeft) {
        const fixed = taken.fixed ?? places[index];
        if (!isBehind) kept.push(taken);
        else if (fixed) moved.push({ ...taken, fixed });
      } else if (!isBehind && taken.queued === wanted[waiting]) {
        kept.push(taken);
      }
    }
    const waiting = kept.filter((one) => !one.queued.hasLeft).length;
    const placedAgain = ahead.slice(waiting).map((one) => ({
      queued: one,
      at,
    }));
    const isPlaced = waiting > ahead.length;
    this.#log = [...kept, ...moved, ...placedAgain];
    const replay = this.#replay();
    return isPlaced
      ? replay.places[kept.findLastIndex((one) => one.queued === queued)]
      : replay.timeline.placeFor(queued.request, at);
  }

  #replay() {
    const timeline = this.#base();
    const places = this.#log.map(({ queued, at, fixed }) => {
      const place = fixed ?? timeline.placeFor(queued.request, at);
      if (place) timeline.take(place, queued.request.promptTokens);
      return place;
    });
    return { timeline, places };
  }
}

const request = fc.record({
  tokens: fc.integer({ min: 50, max: MEMORY }),
  outputTokens: fc.integer({ min: 1, max: 200 }),
  promptTokens: fc.integer({ min: 1, max: 400 }),
});
/** Of the queue: from 0 to below 1. */
const position = fc.integer({ min: 0, max: 99 }).map((part) => part / 100);
const step = fc.oneof(
  // The newcomer is scheduled at a position, and admitted or refused.
  fc.record({
    type: fc.constant("arrive" as const),
    request,
    position,
    isAdmitted: fc.boolean(),
  }),
  fc.record({
    type: fc.constantFrom("grant" as const, "drop" as const),
    position,
  }),
  fc.record({ type: fc.constant("assign" as const), request }),
);

test("kept places equal those of a simulation from scratch", () => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 40, size: "max" }), (steps) => {
      const ledger = fullLedger();
      const base = () => timelineOf(fullLedger());
      const kept = new QueueSimulation({ timeline: base(), ledger });
      const replay = new Replay(ledger, base);
      const queue: WaitingRequest[] = [];
      let granted: WaitingRequest[] = [];
      const grant = (queued: WaitingRequest, now: number) => {
        const { id, tokens, outputTokens } = queued.request;
        const run = { decode: "d1", tokens, outputTokens, startedAt: now };
        ledger.add(ledgerEntry(id, run));
        queued.hasLeft = true;
        kept.noteGrant(queued);
        granted.push(queued);
      };
      for (const [index, { type, ...change }] of steps.entries()) {
        const now = NOW + index;
        if ("isAdmitted" in change) {
          const queued = { request: planRequest(`r${index}`, change.request) };
          const position = Math.floor(change.position * (queue.length + 1));
          const ahead = queue.slice(0, position);
          const place = kept.placeOf(queued, ahead, now);
          assert.deepEqual(
            place,
            replay.placeOf(queued, { ahead, granted }, now),
          );
          granted = [];
          if (change.isAdmitted) queue.splice(position, 0, queued);
        } else if ("request" in change) {
          grant({ request: planRequest(`r${index}`, change.request) }, now);
        } else {
          const position = Math.floor(change.position * queue.length);
          const [queued] = queue.splice(position, 1);
          if (queued && type === "grant") grant(queued, now);
          else if (queued) queued.hasLeft = true;
        }
      }
    }),
  );
});

test("a pass that asks for several requests gets the places of their order", () => {
  const ledger = fullLedger();
  const requests = Array.from({ length: 12 }, (_, index) => ({
    request: planRequest(`r${index}`, { tokens: 100 + index * 40 }),
  }));
  const kept = new QueueSimulation({ timeline: timelineOf(ledger), ledger });
  const alone = timelineOf(ledger);
  const ahead: WaitingRequest[] = [];
  for (const queued of requests) {
    const place = alone.placeFor(queued.request, NOW);
    assert.deepEqual(kept.placeOf(queued, ahead, NOW), place);
    assert.ok(place);
    alone.take(place, queued.request.promptTokens);
    ahead.push(queued);
  }
});

test("the work for an arrival doesn't grow with the queue", () => {
  for (const waiting of [10, 50, 200]) {
    const ledger = fullLedger();
    const kept = new QueueSimulation({ timeline: timelineOf(ledger), ledger });
    const queue: WaitingRequest[] = Array.from(
      { length: waiting },
      (_, index) => ({ request: planRequest(`w${index}`) }),
    );
    const arrive = (id: string) => {
      const queued = { request: planRequest(id) };
      kept.placeOf(queued, [...queue], NOW);
      queue.push(queued);
    };
    arrive("first");
    const before = kept.work;
    for (let index = 0; index < 20; index++) arrive(`r${index}`);
    const perArrival = (kept.work - before) / 20;
    assert.ok(perArrival <= 5, `${perArrival} behind ${waiting} requests`);
  }
});
