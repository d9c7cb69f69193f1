/**
 * Assigns the requests of services to replicas, with a queue in scheduling
 * order and a ledger of what is assigned. The ledger is advisory: the replica's
 * own reservation decides, so a planner may start with an empty ledger, and two
 * planners may plan the same service at once.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { type QueuedRequest, RequestQueue } from "./request_queue.ts";
import { type Bookings, NO_BOOKINGS } from "./bookings.ts";
import {
  type CustomerShares,
  NO_SHARES,
  sharedRequest,
} from "./customer_shares.ts";
import { type EngineAssignment, EngineChoice } from "./engine_choice.ts";
import { ExportLosses } from "./export_losses.ts";
import { firstEventMs, Forecasts } from "./forecasts.ts";
import { Ledger } from "./ledger.ts";
import { RequestPacer } from "./request_pacer.ts";
import { PlainAssigner } from "./plain_assigner.ts";
import { PoolSnapshot } from "./pool_snapshot.ts";
import { PromptLocations } from "./prompt_locations.ts";
import { refusalBasis } from "./refusal_basis.ts";
import { stageLoad } from "./stage_load.ts";
import type { PlannerAnswer, PlannerView, StageLoad } from "./view.ts";
import {
  AssignmentStage,
  type PlanGrant,
  type PlanHandover,
  type PlanProgress,
  type PlanRefusal,
  type PlanRequest,
} from "./messages.ts";
import { EngineDecision } from "./engine_decision.ts";
import type { Outcome } from "./outcome.ts";
import { Progress } from "./progress.ts";
import { EQUAL_RATES, type ReplicaRates } from "./replica_rates.ts";

/** How long a replica that had no memory is given no requests. */
const FULL_BACKOFF_MS = 60;
/** TTL of an assignment whose host reports nothing. */
const ASSIGNMENT_TTL_MS = 20_000;
/**
 * TTL of the assignments of an unreachable host: responses in progress use
 * their memory until they end.
 */
const ORPHAN_TTL_MS = 2000;

/** Stages after which an assignment, or the wait for one, is over. */
const ENDING_STAGES: ReadonlySet<AssignmentStage> = new Set([
  AssignmentStage.exportLost,
  AssignmentStage.refused,
  AssignmentStage.failed,
  AssignmentStage.answered,
  AssignmentStage.ended,
]);

/** The planner of the services that this host plans. */
export class Planner {
  readonly #view: PlannerView;
  readonly #ledger = new Ledger();
  readonly #queue = new RequestQueue();
  readonly #losses = new ExportLosses();
  readonly #promptLocations = new PromptLocations();
  readonly #forecasts: Forecasts;
  readonly #rates: ReplicaRates = EQUAL_RATES;
  readonly #bookings: Bookings = NO_BOOKINGS;
  readonly #shares: CustomerShares = NO_SHARES;
  readonly #progress: Progress;
  readonly #engineDecision: EngineDecision;
  readonly #plainAssigner: PlainAssigner;
  readonly #pacer: RequestPacer;
  readonly #fullUntil = new Map<string, Milliseconds>();

  constructor(view: PlannerView) {
    this.#view = view;
    const pacer = new RequestPacer((incarnation) => view.limitOf(incarnation));
    this.#pacer = pacer;
    this.#forecasts = new Forecasts({
      view,
      ledger: this.#ledger,
      rates: this.#rates,
    });
    const isFull = (incarnation: string, now: Milliseconds) =>
      (this.#fullUntil.get(incarnation) ?? 0) > now ||
      !pacer.hasRoom(incarnation, now);
    const ledger = this.#ledger;
    const promptLocations = this.#promptLocations;
    const forecasts = this.#forecasts;
    this.#engineDecision = new EngineDecision({
      choice: new EngineChoice({ view, ledger, promptLocations, isFull }),
      forecasts,
      pacer,
      view,
    });
    this.#plainAssigner = new PlainAssigner({ view, ledger, pacer, isFull });
    this.#progress = new Progress({
      view,
      ledger,
      losses: this.#losses,
      promptLocations,
      forecasts,
      pacer,
      rates: this.#rates,
      noteFull: (incarnation, now) =>
        this.#fullUntil.set(incarnation, now + FULL_BACKOFF_MS),
    });
  }

  /** Requests that wait for an assignment. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Memory assigned by this planner, in tokens. */
  get memoryByUse(): { readonly running: number; readonly reserved: number } {
    return this.#ledger.memoryByUse();
  }

  /** Utilization of the two stages of a service, from 0 to 1. */
  loadOf(service: string, now: Milliseconds): StageLoad {
    return stageLoad(this.#ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      hasRoom: (incarnation) => this.#pacer.hasRoom(incarnation, now),
    });
  }

  /** Queues a request; `pass` responds to it. */
  enqueue(host: string, request: PlanRequest, now: Milliseconds): void {
    this.#ledger.remove(request.id);
    if (this.#view.memoryOf(request.service) === 0) {
      this.#plainAssigner.noteRequest(request, now);
    }
    const claim = this.#bookings.claim(request, now);
    const isRetry = this.#forecasts.noteRequest(request, now) ||
      claim.type === "claimed";
    const startTag = this.#shares.startTagOf(sharedRequest(request), now);
    this.#queue.add({ host, request, isRetry, claim, startTag }, now);
  }

  /** Adds an assignment that another planner granted. */
  restore(host: string, handover: PlanHandover, now: Milliseconds): void {
    const { id, service, decode, tokens, promptTokens } = handover;
    const { outputTokens, priority, customer, runMs } = handover;
    this.#ledger.add({
      id,
      service,
      decode,
      tokens,
      promptTokens,
      outputTokens,
      priority,
      customer,
      host,
      prefill: undefined,
      prefilledBy: undefined,
      key: "",
      tokensAhead: 0,
      grantedAt: now,
      startedAt: now - runMs,
      expiresAt: now + ASSIGNMENT_TTL_MS,
    });
  }

  /** Handles a host's progress report. */
  report(report: PlanProgress, now: Milliseconds): void {
    if (ENDING_STAGES.has(report.stage)) this.#queue.remove(report.id);
    this.#progress.report(report, now);
  }

  /** Handles the loss of a host's link. */
  noteHostLost(host: string, now: Milliseconds): void {
    this.#ledger.limitHostExpiry(host, now + ORPHAN_TTL_MS);
    this.#queue.removeHost(host);
  }

  /** Processes the queue once; returns the responses to send. */
  pass(now: Milliseconds): PlannerAnswer[] {
    this.#ledger.expire(now);
    const answers: PlannerAnswer[] = [];
    const pools = new Map<string, PoolSnapshot>();
    const poolOf = (service: string) => {
      const known = pools.get(service);
      const pool = known ?? this.#snapshot(service, now);
      if (!known) pools.set(service, pool);
      return pool;
    };
    const serviceMs = (request: PlanRequest) =>
      firstEventMs(poolOf(request.service), request);
    const isOwed = (request: PlanRequest) =>
      this.#forecasts.isPriorityOwed(request, now);
    for (const queued of this.#queue.inOrder({ serviceMs, isOwed }, now)) {
      const pool = poolOf(queued.request.service);
      const message = this.#answer(queued, pool, now);
      if (!message) {
        pool.noteWaiting(queued);
        continue;
      }
      if (message.type === "grant") pool.noteGrant();
      this.#queue.remove(queued.request.id);
      answers.push({ to: queued.host, message });
    }
    return answers;
  }

  #snapshot(service: string, now: Milliseconds): PoolSnapshot {
    return new PoolSnapshot({
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      ledger: this.#ledger,
      isPaused: (incarnation) => this.#view.isPaused(incarnation),
      limitOf: (incarnation) => this.#view.limitOf(incarnation),
      hasRoom: (incarnation) => this.#pacer.hasRoom(incarnation, now),
      isAvoided: (incarnation) => this.#losses.isAvoided(incarnation, now),
    });
  }

  /** The answer to a request; undefined while it waits. */
  #answer(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): PlanGrant | PlanRefusal | undefined {
    const outcome = this.#decide(queued, pool, now);
    switch (outcome.type) {
      case "wait":
        return undefined;
      case "assign":
        return this.#grant(queued, outcome, now);
      case "refuse":
        return this.#refusal(queued, outcome, now);
    }
  }

  #decide(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Outcome {
    if (queued.claim.type === "early") {
      const { retryAfterMs } = queued.claim;
      return { type: "refuse", reason: "busy", retryAfterMs };
    }
    if (now >= queued.abandonAt) return { type: "refuse", reason: "no-memory" };
    return pool.memory === 0
      ? this.#assignPlain(queued, pool.replicas, now)
      : this.#engineDecision.decide(queued, pool, now);
  }

  /** Assigns at once or refuses: plain services queue at their replicas. */
  #assignPlain(
    queued: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): Outcome {
    const { excluded } = queued.request;
    const allowed = replicas.filter((entry) =>
      !excluded.includes(entry.incarnation)
    );
    if (allowed.length === 0) return { type: "refuse", reason: "no-replica" };
    return this.#plainAssigner.assign(queued, allowed, now);
  }

  /** Builds a refusal with the state on which it was decided. */
  #refusal(
    queued: QueuedRequest,
    outcome: Extract<Outcome, { type: "refuse" }>,
    now: Milliseconds,
  ): PlanRefusal {
    const { id, service } = queued.request;
    const { reason, retryAfterMs, isLimited = false } = outcome;
    const basis = refusalBasis(this.#ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      waiting: this.#queue.size,
      isLimited,
      forecastMs: queued.forecast && queued.forecast.firstEventAt - now,
    });
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    return { type: "refusal", id, reason, ...retry, basis };
  }

  #grant(
    queued: QueuedRequest,
    assignment: EngineAssignment,
    now: Milliseconds,
  ): PlanGrant {
    this.#shares.noteGrant(sharedRequest(queued.request), now);
    const { id, service, tokens, promptTokens, key } = queued.request;
    const { outputTokens, priority, customer } = queued.request;
    const decode = assignment.decode.incarnation;
    const prefill = assignment.prefill?.incarnation;
    this.#ledger.add({
      id,
      service,
      host: queued.host,
      decode,
      tokens,
      prefill,
      prefilledBy: prefill,
      promptTokens,
      outputTokens,
      priority,
      customer,
      key,
      tokensAhead: prefill === undefined ? 0 : this.#ledger.backlogAt(prefill),
      grantedAt: now,
      expiresAt: now + ASSIGNMENT_TTL_MS,
    });
    if (prefill === undefined) this.#promptLocations.note(key, { decode }, now);
    const base = { type: "grant" as const, id, decode };
    return prefill === undefined ? base : { ...base, prefill };
  }
}
