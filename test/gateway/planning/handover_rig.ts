/** Plays requests at a small pool whose planner changes while they run. */
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  createPlannerParts,
  type PlannerParts,
} from "../../../src/gateway/planning/planner_parts.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { replicaEntry } from "../replica_entry.ts";
import { handover, MEMORY, planRequest, view } from "./planner_rig.ts";

const STEP_MS = 10;
const REPORT_MS = 1000;
const FIRST_EVENT_MS = 100;
const EVENT_MS = 25;
const EVENTS = 70;
const TOKENS = 100;
const HOSTS = 5;

/** A planner, and what it logged and counted. */
export type RatedPlanner = PlannerParts & {
  readonly planner: Planner;
  readonly events: { readonly name: string; readonly fields: object }[];
  readonly counters: Map<string, number>;
};

/** A planner of the pool with rates switched on. */
export function ratedPlanner(
  pool: readonly ReplicaEntry[],
  scheduling: Partial<typeof NO_SCHEDULING> = {},
): RatedPlanner {
  const events: { name: string; fields: object }[] = [];
  const counters = new Map<string, number>();
  const ofPlanner = view({
    replicasOf: () => pool,
    scheduling: {
      ...NO_SCHEDULING,
      replicaRates: true,
      rateHandover: true,
      ...scheduling,
    },
    events: {
      note: (name, fields = {}) => void events.push({ name, fields }),
    },
    metrics: {
      count: (name, by = 1) =>
        void counters.set(name, (counters.get(name) ?? 0) + by),
    },
  });
  const parts = createPlannerParts(ofPlanner);
  const planner = new Planner(ofPlanner, parts);
  return { ...parts, planner, events, counters };
}

/** Decode replicas of the service "s" in three halls. */
export function decodePool(count: number): ReplicaEntry[] {
  return Array.from(
    { length: count },
    (_, index) =>
      replicaEntry(`d${index}`, {
        stage: ReplicaStage.decode,
        hall: `hall${index % 3}`,
      }),
  );
}

type Run = {
  readonly decode: string;
  readonly host: string;
  readonly startAt: number;
  readonly endAt: number;
  reportAt: number;
};

/** Sends a summary as a message does. */
export function transmitted(summary: object | undefined): unknown {
  return summary && JSON.parse(JSON.stringify(summary));
}

/** Requests that arrive evenly, and the runs of those that were assigned. */
export class PlannedLoad {
  readonly #runs = new Map<string, Run>();
  readonly #slownessOf: (incarnation: string, now: number) => number;
  readonly #share: number;
  readonly #replicas: number;
  #owed = 0;
  #sent = 0;
  #noise = 1;
  now = 0;
  /** No requests arrive until then. */
  pausedUntil = 0;

  constructor(options: {
    readonly replicas: number;
    /** Share of the memory that is in use if all replicas have speed 1. */
    readonly share: number;
    slownessOf(incarnation: string, now: number): number;
  }) {
    this.#slownessOf = options.slownessOf;
    this.#share = options.share;
    this.#replicas = options.replicas;
  }

  /** Plays `durationMs`; returns the decode replicas of the assignments. */
  play({ planner }: RatedPlanner, durationMs: number): string[] {
    const decodes: string[] = [];
    const until = this.now + durationMs;
    for (; this.now < until; this.now += STEP_MS) {
      this.#report(planner);
      this.#send(planner);
      for (const { message } of planner.pass(this.now)) {
        if (message.type !== "grant") continue;
        decodes.push(message.decode);
        this.#start(message.id, message.decode);
      }
    }
    return decodes;
  }

  /** Runs in progress. */
  get running(): number {
    return this.#runs.size;
  }

  /** Adds requests that arrive at once. */
  burst(count: number): void {
    this.#owed += count;
  }

  /** Hosts hand the runs over to a new planner. */
  handOverRuns({ planner }: RatedPlanner): void {
    for (const [id, { decode, host, startAt, endAt }] of this.#runs) {
      const sofar = this.now < startAt
        ? { events: 0, runMs: 0 }
        : eventsOf({ startAt, endAt }, this.now);
      const size = { tokens: TOKENS, outputTokens: EVENTS };
      planner.restore(
        host,
        handover(id, { decode, ...size, ...sofar }),
        this.now,
      );
    }
  }

  #send(planner: Planner): void {
    const runMs = FIRST_EVENT_MS + EVENTS * EVENT_MS;
    const slots = this.#replicas * MEMORY / TOKENS;
    const share = this.now < this.pausedUntil ? 0 : this.#share;
    this.#owed += share * slots * STEP_MS / runMs;
    for (; this.#owed >= 1; this.#owed -= 1) {
      this.#sent += 1;
      const request = planRequest(String(this.#sent), {
        tokens: TOKENS,
        outputTokens: EVENTS,
        whole: true,
        hall: `hall${this.#sent % 3}`,
      });
      planner.enqueue(`host${this.#sent % HOSTS}`, request, this.now);
    }
  }

  #start(id: string, decode: string): void {
    // A linear congruential sequence: durations vary by a factor of 2.5.
    this.#noise = this.#noise * 48_271 % 2_147_483_647;
    const factor = 2.5 ** (this.#noise / 2_147_483_647 - 0.5);
    const slowness = this.#slownessOf(decode, this.now) * factor;
    const startAt = this.now + FIRST_EVENT_MS * slowness;
    this.#runs.set(id, {
      decode,
      host: `host${Number(id) % HOSTS}`,
      startAt,
      endAt: startAt + EVENTS * EVENT_MS * slowness,
      reportAt: startAt,
    });
  }

  #report(planner: Planner): void {
    for (const [id, run] of this.#runs) {
      if (this.now >= run.endAt) {
        this.#runs.delete(id);
        const runMs = run.endAt - run.startAt;
        const details = { events: EVENTS, runMs };
        const stage = "answered";
        planner.report({ type: "progress", id, stage, ...details }, this.now);
        continue;
      }
      if (this.now < run.reportAt) continue;
      const details = eventsOf(run, this.now);
      const stage = details.events === 0 ? "started" : "running";
      const first = stage === "started"
        ? { firstEventMs: FIRST_EVENT_MS }
        : details;
      planner.report({ type: "progress", id, stage, ...first }, this.now);
      run.reportAt += REPORT_MS;
    }
  }
}

/** Events of a run so far. */
function eventsOf(
  { startAt, endAt }: Pick<Run, "startAt" | "endAt">,
  now: number,
) {
  const elapsedMs = now - startAt;
  const eventMs = (endAt - startAt) / EVENTS;
  const events = Math.floor(elapsedMs / eventMs);
  return { events, runMs: events * eventMs };
}

/** The share of the assignments that the replicas got. */
export function shareOf(
  decodes: readonly string[],
  replicas: readonly string[],
): number {
  const count = decodes.filter((decode) => replicas.includes(decode)).length;
  return count / Math.max(1, decodes.length);
}

/** Eight decode replicas of the service "s". */
export const POOL = decodePool(8);
export const SERVICE = "s";
/** Time from the last summary until the next planner gets it. */
export const AGE_MS = 3000;
/** Time that the first planner measures before its last summary. */
const LEARNING_MS = 27_000;

/** How slow a replica is; 2 takes twice the time. */
export type Slowness = (incarnation: string, now: number) => number;

/** One replica takes five times as long as the others. */
export const SLOW: Slowness = (incarnation) => incarnation === "d2" ? 5 : 1;

/** A planner that has seen half a minute of load, and its last summary. */
export function learned(slownessOf: Slowness, pool = POOL) {
  const load = new PlannedLoad({ replicas: 8, share: 0.5, slownessOf });
  const planner = ratedPlanner(pool);
  load.play(planner, LEARNING_MS);
  const summary = transmitted(
    planner.rateHandover.summaryOf(SERVICE, load.now),
  );
  load.pausedUntil = Infinity;
  load.play(planner, AGE_MS);
  return { load, planner, summary };
}

/** Hands a summary over. */
export function receive(
  { rateHandover }: RatedPlanner,
  summary: unknown,
  { now, ageMs = AGE_MS }: { readonly now: number; readonly ageMs?: number },
): void {
  rateHandover.receive({ service: SERVICE, from: "h", summary, ageMs }, now);
}

/** The speeds of the replicas by the planner. */
export function speeds({ measuredRates }: RatedPlanner, now: number): number[] {
  measuredRates.suspects(SERVICE, now);
  return POOL.map(({ incarnation }) => measuredRates.speedOf(incarnation));
}
