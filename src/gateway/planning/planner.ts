/**
 * Assigns the requests of services to replicas, with a queue in scheduling
 * order and a ledger of what is assigned. The ledger is advisory: the replica's
 * own reservation decides, so a planner may start with an empty ledger, and two
 * planners may plan the same service at once.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { hasRequiredVersion } from "../replicas/required_version.ts";
import { type QueuedRequest, RequestQueue } from "./request_queue.ts";
import type { Claim } from "./bookings.ts";
import type { CustomerRates } from "./customer_activity.ts";
import type { EngineAssignment } from "./engine_choice.ts";
import { firstEventMs } from "./forecasts.ts";
import type { MeasuredRates } from "./measured_rates.ts";
import { ASSIGNMENT_TTL_MS, grantedEntry } from "./granted_entry.ts";
import type { Ledger } from "./ledger.ts";
import { createPlannerParts, type PlannerParts } from "./planner_parts.ts";
import { PoolSnapshot } from "./pool_snapshot.ts";
import { isLightlyUsed } from "./pool_use.ts";
import { refusalBasis } from "./refusal_basis.ts";
import { stageLoad } from "./stage_load.ts";
import type { StageMeasurement } from "../stages/demand.ts";
import type { PlannerAnswer, PlannerView, StageLoad } from "./view.ts";
import {
  ENDING_STAGES,
  type PlanGrant,
  type PlanHandover,
  type PlanProgress,
  type PlanRefusal,
  type PlanRequest,
} from "./messages.ts";
import type { Outcome } from "./outcome.ts";

/**
 * TTL of the assignments of an unreachable host: responses in progress use
 * their memory until they end.
 */
const ORPHAN_TTL_MS = 2000;

/** The planner of the services that this host plans. */
export class Planner {
  readonly #view: PlannerView;
  readonly #parts: PlannerParts;
  readonly #queue = new RequestQueue();

  constructor(view: PlannerView, parts = createPlannerParts(view)) {
    this.#view = view;
    this.#parts = parts;
  }

  /** Speeds and ejections of the replicas, if they are measured. */
  get measuredRates(): MeasuredRates {
    return this.#parts.measuredRates;
  }

  /** Requests that wait for an assignment. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** What this planner has assigned. */
  get assigned(): Pick<Ledger, "memoryByUse" | "reservationsOf"> {
    return this.#parts.ledger;
  }

  /** Utilization of the two stages of a service, from 0 to 1. */
  loadOf(service: string, now: Milliseconds): StageLoad {
    return stageLoad(this.#parts.ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      hasRoom: (incarnation) => this.#parts.pacer.hasRoom(incarnation, now),
    });
  }

  /** Demand and capacities of a service; undefined until they are known. */
  measureStages(
    name: string,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): StageMeasurement | undefined {
    const memory = this.#view.memoryOf(name);
    return this.#parts.demand.measure({ name, replicas, memory }, now);
  }

  /** The rates of the customers with the most requests. */
  mostActiveCustomers(count: number, now: Milliseconds): CustomerRates[] {
    return this.#parts.shares.mostActive(count, now);
  }

  /** Queues a request; `pass` responds to it. */
  enqueue(host: string, request: PlanRequest, now: Milliseconds): void {
    this.#parts.ledger.remove(request.id);
    const claim = this.#claim(request, now);
    const isRetry = claim.type !== "early" && this.#noteRequest(request, now) ||
      claim.type === "claimed" || claim.type === "lapsed";
    if (claim.type !== "early") this.#noteDemand(request, isRetry, now);
    this.#parts.shares.noteRequest(request, now);
    this.#queue.add({ host, request, isRetry, claim }, now);
  }

  /** The claim of a request; there is no need to wait while there is room. */
  #claim(request: PlanRequest, now: Milliseconds): Claim {
    const claim = this.#parts.bookings.claim(request, now);
    if (claim.type !== "early") return claim;
    const { service } = request;
    const isIdle = isLightlyUsed(this.#parts.ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
    });
    return isIdle ? { type: "lapsed" } : claim;
  }

  /** Counts a request; returns whether it was refused recently. */
  #noteRequest(request: PlanRequest, now: Milliseconds): boolean {
    if (this.#view.memoryOf(request.service) === 0) {
      this.#parts.plainAssigner.noteRequest(request, now);
    }
    return this.#parts.forecasts.noteRequest(request, now);
  }

  #noteDemand(request: PlanRequest, isRetry: boolean, now: Milliseconds): void {
    const isMeasured = this.#view.scheduling.measuredSplit &&
      this.#view.memoryOf(request.service) > 0;
    if (!isMeasured || isRetry) return;
    const isCached =
      this.#parts.promptLocations.decodeOf(request.key, now) !== undefined;
    this.#parts.demand.noteRequest(request, isCached, now);
  }

  /** Adds an assignment that another planner granted. */
  restore(host: string, handover: PlanHandover, now: Milliseconds): void {
    const { id, service, decode, tokens, promptTokens } = handover;
    const { outputTokens, priority, customer, runMs } = handover;
    this.#parts.ledger.add({
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
    this.#parts.plainAssigner.noteProgress(report, now);
    const entry = this.#parts.ledger.get(report.id);
    if (entry && this.#view.scheduling.measuredSplit) {
      this.#parts.demand.noteReport(entry, report, now);
    }
    this.#parts.progress.report(report, now);
  }

  /** Handles the loss of a host's link. */
  noteHostLost(host: string, now: Milliseconds): void {
    this.#parts.ledger.limitHostExpiry(host, now + ORPHAN_TTL_MS);
    this.#queue.removeHost(host);
  }

  /** Processes the queue once; returns the responses to send. */
  pass(now: Milliseconds): PlannerAnswer[] {
    this.#parts.ledger.expire(now);
    const answers: PlannerAnswer[] = [];
    const pools = new Map<string, PoolSnapshot>();
    const poolOf = (service: string) => {
      const known = pools.get(service);
      const pool = known ?? this.#snapshot(service, now);
      if (!known) pools.set(service, pool);
      return pool;
    };
    const memoryOf = (service: string) => poolOf(service).decodeMemory;
    this.#parts.shares.rank(this.#queue.all(), memoryOf, now);
    const serviceMs = (request: PlanRequest) =>
      firstEventMs(poolOf(request.service), request);
    const isOwed = (request: PlanRequest) =>
      this.#parts.forecasts.isPriorityOwed(request, now);
    for (const queued of this.#queue.inOrder({ serviceMs, isOwed }, now)) {
      const pool = poolOf(queued.request.service);
      const message = this.#answer(queued, pool, now);
      if (message?.type !== "grant") {
        this.#parts.shares.noteNotServed(queued, now);
      }
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
      ledger: this.#parts.ledger,
      isPaused: (incarnation) => this.#view.isPaused(incarnation),
      limitOf: (incarnation) => this.#view.limitOf(incarnation),
      hasRoom: (incarnation) => this.#parts.pacer.hasRoom(incarnation, now),
      isAvoided: (incarnation) =>
        this.#parts.losses.isAvoided(incarnation, now),
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
      : this.#parts.engineDecision.decide(queued, pool, now);
  }

  /** Plain services queue at their replicas; a request waits only for its share. */
  #assignPlain(
    queued: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): Outcome {
    const { excluded, boundTo, second } = queued.request;
    const accepting = replicas.filter((entry) =>
      !excluded.includes(entry.incarnation) &&
      hasRequiredVersion(entry, boundTo)
    );
    const allowed = second
      ? this.#parts.plainAdvisor.replicasForSecond(queued.request, accepting)
      : accepting;
    if (allowed.length === 0) return { type: "refuse", reason: "no-replica" };
    return this.#parts.plainHold.decide(queued, allowed, now) ??
      this.#parts.plainAssigner.assign(queued, allowed, now);
  }

  /** Builds a refusal with the state on which it was decided. */
  #refusal(
    queued: QueuedRequest,
    outcome: Extract<Outcome, { type: "refuse" }>,
    now: Milliseconds,
  ): PlanRefusal {
    const { id, service } = queued.request;
    const { reason, retryAfterMs, isLimited = false } = outcome;
    this.#parts.bookings.noteRefusal(queued, retryAfterMs, now);
    const basis = refusalBasis(this.#parts.ledger, {
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
    this.#parts.shares.noteGrant(queued.request, now);
    const { id, service, key } = queued.request;
    const { ledger } = this.#parts;
    const entry = grantedEntry(ledger, queued, assignment, now);
    const { decode, prefill } = entry;
    ledger.add(entry);
    this.#parts.rates().noteGrant(entry, now);
    if (prefill === undefined && this.#view.memoryOf(service) > 0) {
      this.#parts.promptLocations.note(key, { decode }, now);
    }
    const advice = this.#parts.plainAdvisor.adviceOn(
      queued.request,
      decode,
      now,
    );
    const base = { type: "grant" as const, id, decode, ...advice };
    return prefill === undefined ? base : { ...base, prefill };
  }
}
