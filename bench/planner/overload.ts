/**
 * Plays callers of an overloaded model service against a planner in virtual
 * time, and measures the processor time of the planner's calls.
 */
import { ReplicaStage } from "../../src/gateway/mod.ts";
import type {
  AssignmentStage,
  PlanRequest,
} from "../../src/gateway/planning/messages.ts";
import {
  earliestPassAt,
  mayChangeDecisions,
  type Pass,
} from "../../src/gateway/planning/pass_schedule.ts";
import { Planner } from "../../src/gateway/planning/planner.ts";
import type { PlannerView } from "../../src/gateway/planning/view.ts";
import type { Milliseconds } from "../../src/util/units.ts";
import { planRequest, replicasOf, viewOf } from "./rig.ts";

const STEP_MS = 1;
const PASS_INTERVAL_MS = 20;
/**
 * What is refused within this share of its objective is refused at its arrival;
 * else it was admitted before.
 */
const ARRIVAL_SHARE = 0.25;
const WARM_UP_MS = 20_000;
const MEASURED_MS = 60_000;
const PREFILL_MS = 200;
const FIRST_EVENT_MS = 60;
const REPORT_INTERVAL_MS = 1000;
/** Decode replicas for each prefill replica. */
const DECODES_PER_PREFILL = 2;
/** Requests use `SMALLEST_TOKENS` to ten times as many. */
const SMALLEST_TOKENS = 1500;
/** Runs take this long to ten times as long. */
const SHORTEST_RUN_MS = 460;
/** Actual time of one event. */
const EVENT_MS = 25;
/** An estimate of the output is wrong by a factor of up to this root of ten. */
const ESTIMATE_SPREAD = 0.5;

/** An overload, and how the planner is driven. */
export type Overload = {
  readonly decodes: number;
  readonly requestsPerSecond: number;
  /** Time to the first event that callers accept; bounds the queue. */
  readonly objectiveMs: Milliseconds;
  /** Whether messages cause passes, too, as in `PassSchedule`. */
  readonly passesAtMessages: boolean;
  readonly arrivalDecisions: boolean;
  /** Of the sizes and times of the requests. */
  readonly seed: number;
};

/** What an overload cost the planner, and what became of its requests. */
export type OverloadResult = {
  /** Share of a core. */
  readonly core: number;
  readonly msPerPass: Milliseconds;
  readonly passesPerSecond: number;
  /** Mean number of waiting requests. */
  readonly waiting: number;
  /** Shares of the requests. */
  readonly onTime: number;
  readonly late: number;
  readonly refused: number;
  /** Longest wait of a request that was refused. */
  readonly longestRefusalMs: Milliseconds;
  /** Waits of the requests that were refused at their arrival. */
  readonly arrivalRefusalMs: {
    readonly median: Milliseconds;
    readonly longest: Milliseconds;
  };
};

/** A caller's request. */
type Caller = {
  readonly arrivedAt: Milliseconds;
  readonly runMs: Milliseconds;
  firstEventAt?: Milliseconds;
  refusedAt?: Milliseconds;
};

/** A report of a host that is due. */
type DueReport = { readonly id: string; readonly stage: AssignmentStage };

/** Measures the planner during an overload. */
export function measureOverload(load: Overload): OverloadResult {
  const run = new OverloadRun(load);
  for (let now = 0; now < WARM_UP_MS + MEASURED_MS; now += STEP_MS) {
    run.step(now);
  }
  return run.result();
}

class OverloadRun {
  readonly #load: Overload;
  readonly #planner: Planner;
  readonly #random: () => number;
  readonly #callers = new Map<string, Caller>();
  readonly #reports = new Map<Milliseconds, DueReport[]>();
  #due = 0;
  #passAt: Milliseconds = 0;
  #latestPass: Pass = { startedAt: -Infinity, durationMs: 0 };
  /** Whether a message since the latest pass may change a decision. */
  #mayPass = false;
  #passes = 0;
  #waiting = 0;
  #usedMs: Milliseconds = 0;

  constructor(load: Overload) {
    this.#load = load;
    this.#random = seededRandom(load.seed);
    const view: PlannerView = viewOf(
      replicasOf(load.decodes + Math.ceil(load.decodes / DECODES_PER_PREFILL), {
        stageOf: (index) =>
          index < load.decodes ? ReplicaStage.decode : ReplicaStage.prefill,
      }),
      { arrivalDecisions: load.arrivalDecisions },
    );
    this.#planner = new Planner(view);
  }

  /** Plays the messages of one step, and a pass if it is due. */
  step(now: Milliseconds): void {
    let hasMessages = false;
    for (const { id, stage } of this.#reports.get(now) ?? []) {
      const report = { type: "progress", id, stage } as const;
      hasMessages = true;
      this.#mayPass ||= mayChangeDecisions(report);
      this.#measure(now, () => this.#planner.report(report, now));
    }
    this.#reports.delete(now);
    this.#due += this.#load.requestsPerSecond * STEP_MS / 1000;
    for (; this.#due >= 1; this.#due -= 1) {
      hasMessages = true;
      this.#mayPass = true;
      const request = this.#ask(now);
      this.#measure(now, () => this.#planner.enqueue("host", request, now));
    }
    const isDue = now >= this.#passAt &&
      (hasMessages || this.#planner.waiting > 0);
    const isCaused = this.#load.passesAtMessages && this.#mayPass &&
      now >= earliestPassAt(this.#latestPass);
    if (isDue || isCaused) this.#pass(now);
  }

  /** The figures of the measured time. */
  result(): OverloadResult {
    const measured = [...this.#callers.values()].filter(({ arrivedAt }) =>
      arrivedAt >= WARM_UP_MS &&
      arrivedAt < WARM_UP_MS + MEASURED_MS - this.#load.objectiveMs
    );
    const shareOf = (isCounted: (caller: Caller) => boolean) =>
      measured.filter(isCounted).length / measured.length;
    const refusalWaits = measured
      .flatMap(({ refusedAt, arrivedAt }) =>
        refusedAt === undefined ? [] : [refusedAt - arrivedAt]
      )
      .sort((a, b) => a - b);
    const atArrival = refusalWaits.filter((waitMs) =>
      waitMs < this.#load.objectiveMs * ARRIVAL_SHARE
    );
    const isOnTime = ({ arrivedAt, firstEventAt = Infinity }: Caller) =>
      firstEventAt <= arrivedAt + this.#load.objectiveMs;
    return {
      core: this.#usedMs / MEASURED_MS,
      msPerPass: this.#usedMs / this.#passes,
      passesPerSecond: this.#passes * 1000 / MEASURED_MS,
      waiting: this.#waiting / this.#passes,
      onTime: shareOf(isOnTime),
      late: shareOf((caller) =>
        caller.firstEventAt !== undefined && !isOnTime(caller)
      ),
      refused: shareOf(({ refusedAt }) => refusedAt !== undefined),
      longestRefusalMs: refusalWaits.at(-1) ?? 0,
      arrivalRefusalMs: {
        median: atArrival[atArrival.length >> 1] ?? 0,
        longest: atArrival.at(-1) ?? 0,
      },
    };
  }

  #pass(now: Milliseconds): void {
    this.#passAt = now + PASS_INTERVAL_MS;
    this.#mayPass = false;
    const before = performance.now();
    const answers = this.#measure(now, () => this.#planner.pass(now));
    const durationMs = performance.now() - before;
    this.#latestPass = { startedAt: now, durationMs };
    if (now >= WARM_UP_MS) {
      this.#passes += 1;
      this.#waiting += this.#planner.waiting;
    }
    for (const { message } of answers) {
      if (message.type === "ping") continue;
      const caller = this.#callers.get(message.id);
      if (!caller) continue;
      if (message.type === "refusal") caller.refusedAt = now;
      else this.#serve(message.id, caller, now);
    }
  }

  #serve(id: string, caller: Caller, now: Milliseconds): void {
    const startedAt = now + PREFILL_MS + FIRST_EVENT_MS;
    const endsAt = startedAt + caller.runMs;
    caller.firstEventAt = startedAt;
    this.#report(now + PREFILL_MS, { id, stage: "prefilled" });
    this.#report(startedAt, { id, stage: "started" });
    for (
      let at = startedAt + REPORT_INTERVAL_MS;
      at < endsAt;
      at += REPORT_INTERVAL_MS
    ) this.#report(at, { id, stage: "running" });
    this.#report(endsAt, { id, stage: "answered" });
  }

  #report(at: Milliseconds, report: DueReport): void {
    const known = this.#reports.get(at);
    if (known) known.push(report);
    else this.#reports.set(at, [report]);
  }

  #ask(now: Milliseconds): PlanRequest {
    const id = `r${this.#callers.size}`;
    const tokens = Math.round(SMALLEST_TOKENS * 10 ** this.#random());
    const runMs = Math.round(SHORTEST_RUN_MS * 10 ** this.#random());
    const error = 10 ** ((this.#random() - 0.5) * ESTIMATE_SPREAD * 2);
    this.#callers.set(id, { arrivedAt: now, runMs });
    const { objectiveMs } = this.#load;
    return {
      ...planRequest(id, tokens),
      key: id,
      promptTokens: Math.round(tokens / 2),
      outputTokens: Math.ceil(runMs / EVENT_MS * error),
      objectiveMs,
      slackMs: objectiveMs,
      patienceMs: objectiveMs * 2,
    };
  }

  /** Adds the processor time of a call to that of the measured time. */
  #measure<Result>(now: Milliseconds, call: () => Result): Result {
    if (now < WARM_UP_MS) return call();
    const before = process.cpuUsage();
    const result = call();
    const { user, system } = process.cpuUsage(before);
    this.#usedMs += (user + system) / 1000;
    return result;
  }
}

/** Random numbers in [0, 1) from a seed. */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 2 ** 32;
    return state / 2 ** 32;
  };
}
