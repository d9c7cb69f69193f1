/**
 * Random loads of a planner in virtual time. The same seed always gives the same
 * load, so the decisions of two versions of the planner can be compared.
 */
import { createHash } from "node:crypto";
import { type ReplicaEntry, ReplicaStage } from "../../../src/gateway/mod.ts";
import {
  AssignmentStage,
  type PlanGrant,
  type PlanProgress,
  type PlanRequest,
} from "../../../src/gateway/planning/messages.ts";
import { Planner } from "../../../src/gateway/planning/planner.ts";
import type { PlannerAnswer } from "../../../src/gateway/planning/view.ts";
import { NO_SCHEDULING } from "../no_scheduling.ts";
import { seededRandom } from "./arrival_rig.ts";
import { MEMORY, planRequest, replica, view } from "./planner_rig.ts";

const STEP_MS = 5;
const UNTIL_MS = 8000;
const PASS_INTERVAL_MS = 20;
const SLOTS = 12;
const HOSTS = ["h0", "h1", "h2"];
const CUSTOMERS = ["a", "b", "c"];

/** What a planner decided about a load. */
export type LoadDecisions = {
  readonly grants: number;
  readonly refusals: number;
  readonly mostWaiting: number;
  /**
   * Of all answers, counts and events, in their order; the answers with their
   * times.
   */
  readonly digest: string;
};

/** A report that is due. */
type DueReport = { readonly at: number; readonly report: PlanProgress };

/** Plays the load of a seed. */
export function playRandomLoad(seed: number): LoadDecisions {
  const load = new RandomLoad(seed);
  for (let now = 0; now < UNTIL_MS; now += STEP_MS) load.step(now);
  return load.decisions();
}

class RandomLoad {
  readonly #random: () => number;
  readonly #planner: Planner;
  readonly #hash = createHash("sha256");
  readonly #requests = new Map<string, PlanRequest>();
  readonly #paused = new Set<string>();
  readonly #limits = new Map<string, number>();
  readonly #retries: { at: number; request: PlanRequest }[] = [];
  readonly #requestsPerSecond: number;
  readonly #objectiveMs: number;
  #reports: DueReport[] = [];
  #replicas: readonly ReplicaEntry[];
  #due = 0;
  #passAt = 0;
  #grants = 0;
  #refusals = 0;
  #mostWaiting = 0;

  constructor(seed: number) {
    // Neighbouring seeds of the generator begin with similar numbers.
    this.#random = seededRandom(seed * 7919);
    for (let count = 0; count < 10; count++) this.#random();
    const decodes = 3 + this.#below(10);
    this.#replicas = [
      ...names("p", 1 + this.#below(3)).map((name) =>
        replica(name, ReplicaStage.prefill)
      ),
      ...names("d", decodes).map((name, index) => ({
        ...replica(name, ReplicaStage.decode),
        slots: SLOTS,
        hall: index % 2 === 0 ? "h" : "other",
        softwareVersion: index % 3 === 0 ? "1" : "2",
      })),
    ];
    this.#requestsPerSecond = decodes * (3 + 12 * this.#random());
    this.#objectiveMs = [300, 900, 2300][this.#below(3)] ?? 900;
    const scheduling = {
      ...NO_SCHEDULING,
      arrivalDecisions: this.#is(0.8),
      replicaRates: this.#is(0.3),
      bookedReturns: this.#is(0.3),
      customerShares: this.#is(0.3),
      measuredSplit: this.#is(0.3),
    };
    this.#planner = new Planner(view({
      // Returns a new array on each call, as the replica table does.
      replicasOf: () => [...this.#replicas],
      isPaused: (incarnation) => this.#paused.has(incarnation),
      limitOf: (incarnation) => this.#limits.get(incarnation),
      random: this.#random,
      scheduling,
      metrics: { count: (name) => this.#record("count", name) },
      events: { note: (name, fields) => this.#record(name, fields) },
    }));
  }

  /** Plays the messages of one step, and a pass if it is due. */
  step(now: number): void {
    this.#changeReplicas();
    const due = this.#reports.filter(({ at }) => at <= now);
    this.#reports = this.#reports.filter(({ at }) => at > now);
    for (const { report } of due) this.#planner.report(report, now);
    const isBurst = now % 3000 > 1500;
    const rate = this.#requestsPerSecond * (isBurst ? 2 : 0.5);
    this.#due += rate * STEP_MS / 1000;
    for (; this.#due >= 1; this.#due -= 1) this.#ask(this.#newRequest(), now);
    const returning = this.#retries.filter(({ at }) => at <= now);
    const later = this.#retries.filter(({ at }) => at > now);
    this.#retries.splice(0, this.#retries.length, ...later);
    for (const { request } of returning) {
      this.#ask({ ...request, id: this.#nextId() }, now);
    }
    if (this.#is(0.001)) this.#planner.noteHostLost(this.#pick(HOSTS), now);
    if (now < this.#passAt && !this.#is(0.1)) return;
    this.#passAt = now + PASS_INTERVAL_MS;
    for (const answer of this.#planner.pass(now)) this.#answer(answer, now);
    this.#mostWaiting = Math.max(this.#mostWaiting, this.#planner.waiting);
  }

  /** The decisions so far. */
  decisions(): LoadDecisions {
    const digest = this.#hash.digest("hex").slice(0, 16);
    return {
      grants: this.#grants,
      refusals: this.#refusals,
      mostWaiting: this.#mostWaiting,
      digest,
    };
  }

  #changeReplicas(): void {
    if (this.#is(0.002)) {
      const [first, ...others] = this.#replicas;
      if (first) this.#replicas = [...others, first];
    }
    const { incarnation, stage } = this.#pick(this.#replicas);
    if (this.#is(0.002)) this.#paused.add(incarnation);
    if (this.#is(0.01)) this.#paused.clear();
    if (this.#is(0.001)) this.#limits.set(incarnation, 5 + this.#below(20));
    if (this.#is(0.002)) this.#limits.clear();
    const isLost = stage === ReplicaStage.decode &&
      this.#replicas.length > 4 && this.#is(0.0008);
    if (!isLost) return;
    this.#replicas = this.#replicas.filter((entry) =>
      entry.incarnation !== incarnation
    );
  }

  #newRequest(): PlanRequest {
    const id = this.#nextId();
    const tokens = Math.round(40 * 10 ** this.#random());
    const objectiveMs = this.#objectiveMs;
    return planRequest(id, {
      key: this.#is(0.8) ? id : "",
      tokens: this.#is(0.02) ? MEMORY * 0.8 : tokens,
      promptTokens: Math.round(tokens * this.#random()),
      outputTokens: Math.ceil(20 * 10 ** this.#random()),
      customer: this.#pick(CUSTOMERS),
      priority: this.#is(0.2) ? 2 : 1,
      objectiveMs,
      slackMs: objectiveMs * (this.#is(0.1) ? 0.5 : 1),
      patienceMs: objectiveMs * (1 + this.#below(3)),
      begun: this.#is(0.03),
      whole: this.#is(0.03),
      excluded: this.#is(0.05) ? [this.#pick(this.#replicas).incarnation] : [],
      ...(this.#is(0.03) ? { boundTo: { softwareVersion: "1" } } : {}),
    });
  }

  #ask(request: PlanRequest, now: number): void {
    this.#requests.set(request.id, request);
    this.#planner.enqueue(this.#pick(HOSTS), request, now);
  }

  #answer({ to, message }: PlannerAnswer, now: number): void {
    this.#record(`${now} ${to}`, message);
    if (message.type === "grant") this.#serve(message, now);
    if (message.type !== "refusal") return;
    this.#refusals += 1;
    const request = this.#requests.get(message.id);
    const { retryAfterMs } = message;
    if (!request || retryAfterMs === undefined || this.#is(0.4)) return;
    this.#retries.push({ at: now + retryAfterMs, request });
  }

  /** Schedules the reports about a request that has been assigned. */
  #serve({ id, prefill }: PlanGrant, now: number): void {
    this.#grants += 1;
    const report = (
      at: number,
      stage: AssignmentStage,
      more: Partial<PlanProgress> = {},
    ): void => {
      const progress = { type: "progress" as const, id, stage, ...more };
      this.#reports.push({ at, report: progress });
    };
    if (this.#is(0.03)) return report(now + 10, AssignmentStage.refused);
    const prefillMs = 40 + this.#below(60);
    if (prefill !== undefined) {
      report(now + prefillMs, AssignmentStage.prefilled, {
        spentMs: prefillMs,
      });
    }
    if (this.#is(0.02)) {
      return report(now + prefillMs, AssignmentStage.exportLost);
    }
    const startedAt = now + prefillMs + 60;
    report(startedAt, AssignmentStage.started, { firstEventMs: 60 });
    const runMs = Math.round(300 * 10 ** this.#random());
    report(startedAt + runMs / 2, AssignmentStage.running, {
      events: Math.ceil(runMs / 50),
      runMs: runMs / 2,
    });
    const isFailed = this.#is(0.02);
    report(
      startedAt + runMs,
      isFailed ? AssignmentStage.failed : AssignmentStage.answered,
      { events: Math.ceil(runMs / 25), runMs },
    );
  }

  #record(name: string, value: unknown): void {
    this.#hash.update(`${name} ${JSON.stringify(value)}\n`);
  }

  #nextId(): string {
    return `r${this.#requests.size}`;
  }

  #is(probability: number): boolean {
    return this.#random() < probability;
  }

  #below(limit: number): number {
    return Math.floor(this.#random() * limit);
  }

  #pick<Element>(elements: readonly Element[]): Element {
    const element = elements[this.#below(elements.length)];
    if (element === undefined) throw new Error("Nothing to pick from");
    return element;
  }
}

function names(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index}`);
}
