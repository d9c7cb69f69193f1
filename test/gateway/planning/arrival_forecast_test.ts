/**
 * Forecasts from simulations that are kept between passes. Guards against
 * forecasts for replicas that are gone or runs that ended long ago, and against
 * work that grows without bound with the passes.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import "../../fixed_seed.ts";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import { ArrivalForecast } from "../../../src/gateway/planning/arrival_forecast.ts";
import { Ledger } from "../../../src/gateway/planning/ledger.ts";
import { PoolSnapshot } from "../../../src/gateway/planning/pool_snapshot.ts";
import {
  type QueuedRequest,
  RequestQueue,
} from "../../../src/gateway/planning/request_queue.ts";
import { EQUAL_RATES } from "../../../src/gateway/planning/replica_rates.ts";
import { learnedLengths, ledgerEntry } from "./ledger_rig.ts";
import { MEMORY, planRequest, replica } from "./planner_rig.ts";

/** Longest time for which a simulation is kept. */
const MAX_AGE_MS = 50;
const MAX_WORK_PER_SECOND = 15_000;
const BEGIN = 10_000;

function createForecast(ledger: Ledger): ArrivalForecast {
  return new ArrivalForecast({
    ledger,
    rates: () => EQUAL_RATES,
    lengths: learnedLengths(),
    firstEventMs: 150,
  });
}

function poolOf(
  replicas: readonly ReplicaEntry[],
  ledger: Ledger,
  waiting: Iterable<QueuedRequest>,
): PoolSnapshot {
  const pool = new PoolSnapshot({
    replicas,
    memory: MEMORY,
    ledger,
    isPaused: () => false,
    limitOf: () => undefined,
    hasRoom: () => true,
    isAvoided: () => false,
  });
  for (const queued of waiting) pool.noteWaiting(queued);
  return pool;
}

function decodesOf(count: number): ReplicaEntry[] {
  return Array.from(
    { length: count },
    (_, index) => replica(`d${index}`, ReplicaStage.decode),
  );
}

/** Starts four runs at each replica. */
function fill(ledger: Ledger, decodes: number): void {
  for (let index = 0; index < decodes * 4; index++) {
    ledger.add(ledgerEntry(`run${index}`, {
      decode: `d${index % decodes}`,
      tokens: MEMORY / 4,
      outputTokens: 20 + index * 7 % 60,
      startedAt: BEGIN - index * 13 % 500,
    }));
  }
}

class Rig {
  readonly ledger = new Ledger();
  readonly kept = createForecast(this.ledger);
  readonly queue = new RequestQueue();
  #count = 0;

  enqueue(tokens: number, now: number): QueuedRequest {
    const request = planRequest(`r${this.#count++}`, { tokens });
    const claim = { type: "none" } as const;
    this.queue.add({ host: "h", request, isRetry: false, claim }, now);
    const queued = [...this.queue.all()].at(-1);
    assert.ok(queued);
    return queued;
  }
}

const tokens = fc.integer({ min: 50, max: MEMORY });
const index = fc.nat({ max: 60 });
const step = fc.oneof(
  fc.record({ type: fc.constant("arrive" as const), tokens }),
  fc.record({ type: fc.constant("end" as const), index }),
  fc.record({ type: fc.constant("start" as const), index }),
  fc.record({ type: fc.constant("grant" as const), index }),
  fc.record({ type: fc.constant("drop" as const), index }),
  fc.record({
    type: fc.constant("replicas" as const),
    names: fc.subarray(["d0", "d1", "d2", "d3", "d4"], { minLength: 1 }),
  }),
  fc.record({ type: fc.constant("pass" as const), ms: fc.nat({ max: 80 }) }),
);

test("forecasts equal those from scratch when replicas have changed or 50 ms have passed", () => {
  const steps = fc.array(step, { maxLength: 60, size: "max" });
  fc.assert(fc.property(steps, (all) => {
    const rig = new Rig();
    fill(rig.ledger, 5);
    let names = ["d0", "d1", "d2", "d3", "d4"];
    let now = BEGIN;
    let runs = 20;
    let last = { at: -Infinity, names: "" };
    for (const change of all) {
      const waiting = [...rig.queue.all()];
      switch (change.type) {
        case "arrive":
          rig.enqueue(change.tokens, now);
          break;
        case "end":
          rig.ledger.remove(`run${change.index}`);
          break;
        case "start":
          rig.ledger.noteRunning(`run${change.index}`, change.index, now);
          break;
        case "grant": {
          const queued = waiting[change.index % Math.max(1, waiting.length)];
          if (!queued) break;
          rig.queue.remove(queued.request.id);
          rig.kept.noteGrant(queued, now);
          rig.ledger.add(ledgerEntry(`run${runs++}`, {
            decode: names[change.index % names.length] ?? "",
            tokens: queued.request.tokens,
            outputTokens: 40,
            startedAt: now,
          }));
          break;
        }
        case "drop": {
          const queued = waiting[change.index % Math.max(1, waiting.length)];
          if (queued) rig.queue.remove(queued.request.id);
          break;
        }
        case "replicas":
          names = change.names;
          break;
        case "pass": {
          now += change.ms;
          const newcomer = rig.enqueue(300, now);
          const ahead = [...rig.queue.all()].slice(0, -1);
          const decodes = names.map((name) =>
            replica(name, ReplicaStage.decode)
          );
          const pool = poolOf(decodes, rig.ledger, ahead);
          const forecast = rig.kept.forecast(newcomer, pool, now);
          const { at, names: before } = last;
          last = { at: now, names: names.join() };
          if (now - at < MAX_AGE_MS && before === last.names) break;
          const scratch = createForecast(rig.ledger);
          assert.deepEqual(forecast, scratch.forecast(newcomer, pool, now));
          break;
        }
      }
    }
  }));
});

test("the work for a second of arrivals is bounded as the queue and the pool grow", () => {
  for (const [decodes, waiting] of [[25, 100], [50, 100], [50, 190]] as const) {
    const rig = new Rig();
    fill(rig.ledger, decodes);
    const replicas = decodesOf(decodes);
    for (let count = 0; count < waiting; count++) {
      rig.enqueue(100 + count * 37 % 300, BEGIN);
    }
    for (let now = BEGIN; now < BEGIN + 1000; now += 5) {
      const newcomer = rig.enqueue(100 + now % 300, now);
      const ahead = [...rig.queue.all()].slice(0, -1);
      const pool = poolOf(replicas, rig.ledger, ahead);
      rig.kept.forecast(newcomer, pool, now);
      rig.queue.remove(newcomer.request.id);
    }
    const work = rig.kept.workOf("s");
    const text = `${work} at ${decodes} replicas with ${waiting} waiting`;
    assert.ok(work <= MAX_WORK_PER_SECOND, text);
  }
});
