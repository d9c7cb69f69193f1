/** Sends the load of several customers through planners, in virtual time. */
import { ReplicaStage } from "../../../src/gateway/mod.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";
import { handover, MEMORY, planRequest, view } from "./planner_rig.ts";

const SLOTS = 6;
/** Calls that a plain replica runs and queues before it rejects more. */
const MAX_CALLS = 30;

/** Shares are measured: refusals of requests sent before don't count. */
const SETTLE_MS = 1000;

/** Requests of one customer. */
export type Load = {
  readonly customer: string;
  readonly perSecond: number;
  readonly priority?: number;
  readonly tokens?: number;
  readonly runMs?: number;
  /** Requests arrive at random by default; else this many at a time. */
  readonly inStep?: number;
  /** When it sends its first request. */
  readonly fromMs?: number;
};

/** What became of a customer's requests. */
export type Result = {
  asked: number;
  refused: number;
  /** Requests that ended in the time of the run. */
  served: number;
  /** Time over all requests served, including what they run. */
  totalMs: number;
  /** Amount of memory or slots used, times time. */
  used: number;
};

/** Options of {@link run}. */
export type RunOptions = {
  readonly loads: readonly Load[];
  readonly seconds: number;
  /** A model service if true; else a plain one. */
  readonly isModel?: boolean;
  readonly isOff?: boolean;
  readonly planners?: number;
  /** When all planners are replaced by new ones. */
  readonly dieAt?: number;
  weightOf?(customer: string): number;
  /** Receives the names of the events. */
  note?(event: string): void;
};

type Call = { id: string; load: Load; sentAt: number; planner: number };

/** Four replicas; returns the results by customer. */
export function run(options: RunOptions): Map<string, Result> {
  const { loads, seconds, isModel = false, planners: count = 1 } = options;
  const names = ["r1", "r2", "r3", "r4"];
  const slots = new Map(names.map((name) => [name, Array(SLOTS).fill(0)]));
  const random = pseudoRandom();
  const newPlanner = () =>
    new Planner(view({
      replicasOf: () =>
        names.map((name) =>
          isModel
            ? replicaEntry(name, { stage: ReplicaStage.decode })
            : replicaEntry(name, { slots: SLOTS })
        ),
      memoryOf: () => isModel ? MEMORY : 0,
      random,
      scheduling: { ...NO_SCHEDULING, customerShares: !options.isOff },
      weightOf: options.weightOf ?? (() => 1),
      events: { note: (event) => options.note?.(event) },
    }));
  let planners = Array.from({ length: count }, newPlanner);
  const results = new Map<string, Result>();
  const calls = new Map<string, Call>();
  const ends = new Map<number, { call: Call; decode: string }[]>();
  const active = new Map<Call, string>();
  let number = 0;
  const send = (load: Load, now: number) => {
    const id = `r${number++}`;
    const { customer, priority = 1, tokens = 1 } = load;
    const planner = number % count;
    calls.set(id, { id, load, sentAt: now, planner });
    resultOf(results, customer).asked += 1;
    const request = { customer, priority, tokens, promptTokens: 1 };
    const patience = isModel ? { key: id } : { patienceMs: 80 };
    planners[planner]?.enqueue(
      "h",
      planRequest(id, { ...request, ...patience, whole: isModel }),
      now,
    );
  };
  const start = (call: Call, decode: string, now: number) => {
    const { runMs: meanMs = 57, tokens = 1, customer } = call.load;
    const runMs = meanMs * (0.5 + random());
    const free = slots.get(decode) ?? [];
    const queued = [...active.values()].filter((at) => at === decode).length;
    if (!isModel && queued >= MAX_CALLS) {
      const stage = "refused";
      planners[call.planner]?.report(
        { type: "progress", id: call.id, stage },
        now,
      );
      return;
    }
    const first = free.indexOf(Math.min(...free));
    const startAt = isModel ? now : Math.max(now, free[first] ?? 0);
    const endAt = Math.ceil(startAt + runMs);
    free[first] = startAt + runMs;
    active.set(call, decode);
    const due = ends.get(endAt) ?? [];
    ends.set(endAt, [...due, { call, decode }]);
    if (endAt > seconds * 1000) return;
    const result = resultOf(results, customer);
    result.served += 1;
    result.totalMs += endAt - call.sentAt;
    result.used += tokens * runMs;
  };
  for (let now = 0; now < seconds * 1000; now++) {
    if (now === options.dieAt) {
      planners = planners.map(newPlanner);
      for (const [{ id, load, planner }, decode] of active) {
        const { customer, tokens = 1, priority = 1 } = load;
        const kept = { customer, tokens, priority, decode };
        planners[planner]?.restore("h", handover(id, kept), now);
      }
    }
    for (const { call } of ends.get(now) ?? []) {
      active.delete(call);
      const { id, planner } = call;
      const stage = "answered";
      planners[planner]?.report({ type: "progress", id, stage }, now);
    }
    for (const load of loads) {
      const { perSecond, inStep = 0, fromMs = 0 } = load;
      if (now < fromMs) continue;
      const due = inStep > 0
        ? now % Math.round(inStep * 1000 / perSecond) === 0 ? inStep : 0
        : poisson(perSecond / 1000, random);
      for (let each = 0; each < due; each++) send(load, now);
    }
    for (const planner of planners) {
      for (const { message } of planner.pass(now)) {
        const call = message.type === "ping"
          ? undefined
          : calls.get(message.id);
        if (!call) continue;
        calls.delete(call.id);
        if (message.type === "grant") start(call, message.decode, now);
        else if (call.sentAt >= SETTLE_MS) {
          resultOf(results, call.load.customer).refused += 1;
        }
      }
    }
  }
  return results;
}

/** Jain's index of fairness: 1 if all values are equal. */
export function jainIndex(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  const squares = values.reduce((total, value) => total + value * value, 0);
  return sum * sum / (values.length * squares);
}

function resultOf(results: Map<string, Result>, customer: string): Result {
  const known = results.get(customer);
  if (known) return known;
  const result = { asked: 0, refused: 0, served: 0, totalMs: 0, used: 0 };
  results.set(customer, result);
  return result;
}

function poisson(mean: number, random: () => number): number {
  let product = random();
  let count = 0;
  for (const limit = Math.exp(-mean); product > limit; count++) {
    product *= random();
  }
  return count;
}

/** A linear congruential generator with a fixed seed. */
function pseudoRandom(): () => number {
  let state = 20_261_203;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
