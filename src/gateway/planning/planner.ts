/**
 * Assigns the requests of services to replicas, with a queue in scheduling
 * order and a ledger of what is assigned. The ledger is advisory: the replica's
 * own reservation decides, so a planner may start with an empty ledger, and two
 * planners may plan the same service at once.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { type QueuedRequest, RequestQueue } from "./request_queue.ts";
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
  type PlannerMessage,
  type PlanProgress,
  type PlanRefusal,
  type PlanRequest,
} from "./messages.ts";

/** How long a replica that had no memory is given no requests. */
const FULL_BACKOFF_MS = 60;
/** TTL of an assignment whose host reports nothing. */
const ASSIGNMENT_TTL_MS = 20_000;
/**
 * TTL of the assignments of an unreachable host: responses in progress use
 * their memory until they end.
 */
const ORPHAN_TTL_MS = 2000;

/** The planner of the services that this host plans. */
export class Planner {
  readonly #view: PlannerView;
  readonly #ledger = new Ledger();
  readonly #queue = new RequestQueue();
  readonly #losses = new ExportLosses();
  readonly #promptLocations = new PromptLocations();
  readonly #forecasts: Forecasts;
  readonly #engineChoice: EngineChoice;
  readonly #plainAssigner: PlainAssigner;
  readonly #pacer: RequestPacer;
  readonly #fullUntil = new Map<string, Milliseconds>();

  constructor(view: PlannerView) {
    this.#view = view;
    const pacer = new RequestPacer((incarnation) => view.limitOf(incarnation));
    this.#pacer = pacer;
    this.#forecasts = new Forecasts(view.random);
    const isFull = (incarnation: string, now: Milliseconds) =>
      (this.#fullUntil.get(incarnation) ?? 0) > now ||
      !pacer.hasRoom(incarnation, now);
    const ledger = this.#ledger;
    this.#engineChoice = new EngineChoice({
      view,
      ledger,
      promptLocations: this.#promptLocations,
      isFull,
    });
    this.#plainAssigner = new PlainAssigner({ view, ledger, pacer, isFull });
  }

  /** Requests that wait for an assignment. */
  get waiting(): number {
    return this.#queue.size;
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
    const isRetry = this.#forecasts.noteRequest(request, now);
    this.#queue.add({ host, request, isRetry }, now);
  }

  /** Adds an assignment that another planner granted. */
  restore(host: string, handover: PlanHandover, now: Milliseconds): void {
    this.#ledger.add({
      id: handover.id,
      service: undefined,
      host,
      decode: handover.decode,
      tokens: handover.tokens,
      prefill: undefined,
      prefilledBy: undefined,
      promptTokens: 0,
      key: "",
      tokensAhead: 0,
      grantedAt: now,
      expiresAt: now + ASSIGNMENT_TTL_MS,
    });
  }

  /** Handles a host's progress report. */
  report(report: PlanProgress, now: Milliseconds): void {
    const { id, stage, spentMs } = report;
    switch (stage) {
      case AssignmentStage.prefilled: {
        const entry = this.#ledger.endPrefill(id, spentMs);
        if (entry?.prefilledBy === undefined) return;
        const { key, decode, prefilledBy } = entry;
        this.#promptLocations.note(key, { decode, prefill: prefilledBy }, now);
        this.#view.noteSuccess(prefilledBy);
        return;
      }
      case AssignmentStage.prefillLimited: {
        const replica = this.#ledger.endPrefill(id, undefined)?.prefilledBy;
        if (replica !== undefined) this.#pacer.noteFull(replica, report, now);
        return;
      }
      case AssignmentStage.prefillFailed: {
        const replica = this.#ledger.endPrefill(id, undefined)?.prefilledBy;
        if (replica !== undefined) this.#view.noteFailure(replica, now);
        return;
      }
      default:
        this.#release(report, now);
    }
  }

  #release(report: PlanProgress, now: Milliseconds): void {
    const { id, stage, retryAfterMs } = report;
    this.#queue.remove(id);
    const entry = this.#ledger.remove(id);
    if (!entry) return;
    const { decode, prefilledBy } = entry;
    if (prefilledBy !== undefined && stage === AssignmentStage.exportLost) {
      this.#losses.noteLost(prefilledBy, now);
      this.#promptLocations.forget(entry.key);
    }
    if (stage === AssignmentStage.answered) {
      if (entry.service !== undefined) {
        this.#forecasts.noteEnd(entry.service, now - entry.grantedAt);
      }
      this.#view.noteSuccess(decode);
      if (prefilledBy !== undefined) this.#losses.noteUsed(prefilledBy);
    }
    if (stage === AssignmentStage.refused) {
      const isFull = retryAfterMs === undefined;
      if (isFull) this.#fullUntil.set(decode, now + FULL_BACKOFF_MS);
      else this.#pacer.noteFull(decode, report, now);
    }
    if (stage === AssignmentStage.failed) this.#view.noteFailure(decode, now);
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
    for (const queued of this.#queue.inOrder(now, serviceMs)) {
      const pool = poolOf(queued.request.service);
      const message = this.#decide(queued, pool, now) ??
        this.#refuseEarly(queued, pool, now);
      if (!message) {
        pool.noteWaiting(queued.request);
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

  #decide(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): PlannerMessage | undefined {
    const { excluded } = queued.request;
    if (now >= queued.abandonAt) return this.#refusal(queued, "no-memory");
    const allowed = <Entry extends ReplicaEntry>(entries: readonly Entry[]) =>
      excluded.length === 0
        ? entries
        : entries.filter((entry) => !excluded.includes(entry.incarnation));
    if (pool.memory === 0) {
      return this.#assignPlain(queued, allowed(pool.replicas), now);
    }
    const decodes = allowed(pool.decodes);
    if (decodes.length === 0) return this.#refusal(queued, "no-replica");
    // Memory that is released goes to more urgent requests that wait for it,
    // even if a less urgent request would fit already.
    if (!queued.mayHaveRun && queued.priority > pool.mostUrgentWaiting) {
      return undefined;
    }
    const mayFit = excluded.length > 0 || pool.mayFit(queued.request.tokens);
    const healthyDecodes = allowed(pool.healthyDecodes);
    const candidates = healthyDecodes.length > 0 ? healthyDecodes : decodes;
    const limitedMs = this.#pacer.minWaitMs(candidates, now);
    if (now + limitedMs > queued.abandonAt) {
      const refusal = this.#refusal(queued, "busy", true);
      return { ...refusal, retryAfterMs: limitedMs };
    }
    const chosen = this.#engineChoice.assignmentFor(queued.request, {
      decodes: candidates,
      prefills: allowed(pool.availablePrefills),
      mayPrefillLater: allowed(pool.availablePrefills).length <
        allowed(pool.healthyPrefills).length,
      mayFit,
      slackMs: queued.dueAt - now,
    }, now);
    if (!chosen) return undefined;
    this.#pacer.noteGrant(chosen.decode.incarnation, now);
    if (chosen.prefill) this.#pacer.noteGrant(chosen.prefill.incarnation, now);
    return this.#grant(queued, chosen, now);
  }

  /** Assigns at once or refuses: plain services queue at their replicas. */
  #assignPlain(
    queued: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): PlannerMessage {
    if (replicas.length === 0) return this.#refusal(queued, "no-replica");
    const assignment = this.#plainAssigner.assign(queued, replicas, now);
    if (assignment.type === "replica") {
      return this.#grant(queued, { decode: assignment.replica }, now);
    }
    const { retryAfterMs, isLimited } = assignment;
    return { ...this.#refusal(queued, "busy", isLimited), retryAfterMs };
  }

  /** Refuses a request that can't start before its caller times out. */
  #refuseEarly(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): PlannerMessage | undefined {
    const retryAfterMs = this.#forecasts.retryAfterMs(queued, pool, now);
    if (retryAfterMs === undefined) return undefined;
    const isLimited = Number.isFinite(pool.startRate);
    return { ...this.#refusal(queued, "busy", isLimited), retryAfterMs };
  }

  /** Builds a refusal with the state on which it was decided. */
  #refusal(
    queued: QueuedRequest,
    reason: PlanRefusal["reason"],
    isLimited = false,
  ): PlanRefusal {
    const { id, service } = queued.request;
    const basis = refusalBasis(this.#ledger, {
      replicas: this.#view.replicasOf(service),
      memory: this.#view.memoryOf(service),
      waiting: this.#queue.size,
      isLimited,
    });
    return { type: "refusal", id, reason, basis };
  }

  #grant(
    queued: QueuedRequest,
    assignment: EngineAssignment,
    now: Milliseconds,
  ): PlanGrant {
    const { id, service, tokens, promptTokens, key } = queued.request;
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
