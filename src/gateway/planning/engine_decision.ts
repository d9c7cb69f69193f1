/**
 * Decides about one queued request of a model service: to assign replicas, to
 * let it wait, or to refuse it.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { hasRequiredVersion } from "../replicas/required_version.ts";
import type { EngineAssignment, EngineChoice } from "./engine_choice.ts";
import type { Forecasts } from "./forecasts.ts";
import { type Outcome, WAIT } from "./outcome.ts";
import type { PlanRequest } from "./messages.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import type { RequestPacer } from "./request_pacer.ts";
import type { QueuedRequest } from "./request_queue.ts";
import { MemorySetAside } from "./memory_set_aside.ts";
import type { PlannerView } from "./view.ts";

/** Options of {@link EngineDecision}. */
export type EngineDecisionOptions = {
  readonly choice: EngineChoice;
  readonly forecasts: Forecasts;
  readonly pacer: RequestPacer;
  readonly view: Pick<PlannerView, "scheduling">;
};

/** The decode replicas that a request may use. */
type Candidates = {
  readonly pool: PoolSnapshot;
  readonly decodes: readonly ReplicaEntry[];
};

/** Decides about requests of model services. */
export class EngineDecision {
  readonly #choice: EngineChoice;
  readonly #forecasts: Forecasts;
  readonly #pacer: RequestPacer;
  readonly #view: EngineDecisionOptions["view"];
  readonly #setAside: MemorySetAside;

  constructor({ choice, forecasts, pacer, view }: EngineDecisionOptions) {
    this.#choice = choice;
    this.#forecasts = forecasts;
    this.#pacer = pacer;
    this.#view = view;
    this.#setAside = new MemorySetAside((queued, pool, now) =>
      forecasts.arrival.firstReplica(queued, pool, now)
    );
  }

  /** Decides about the next request in scheduling order. */
  decide(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Outcome {
    const isOwed = queued.admission !== undefined ||
      this.#forecasts.isPriorityOwed(queued.request, now);
    // What was owed has been given to a request that is scheduled before it.
    if (queued.isPromoted && !isOwed && !queued.mayHaveRun) return WAIT;
    const outcome = this.#assign(queued, pool, now);
    if (outcome.type === "assign") this.#forecasts.noteGrant(queued, now);
    if (outcome.type !== "wait") return outcome;
    return this.#refuseEarly(queued, pool, now);
  }

  #assign(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Outcome {
    const { request } = queued;
    const decodes = allowedDecodes(request, pool.decodes);
    if (decodes.length === 0) return { type: "refuse", reason: "no-replica" };
    // Memory that is released goes to more urgent requests that wait for it,
    // even if a less urgent request would fit already.
    const isLessUrgent = queued.priority > pool.mostUrgentWaiting;
    if (isLessUrgent && !queued.mayHaveRun && !queued.isPromoted) return WAIT;
    const healthyDecodes = allowedDecodes(request, pool.healthyDecodes);
    const usable = healthyDecodes.length > 0 ? healthyDecodes : decodes;
    const { arrivalDecisions } = this.#view.scheduling;
    const candidates = arrivalDecisions
      ? this.#setAside.allowed(pool, usable)
      : usable;
    const mayFit = pool.mayFit(request.tokens, candidates);
    const limitedMs = this.#pacer.minWaitMs(usable, now);
    if (now + limitedMs > queued.abandonAt) {
      return {
        type: "refuse",
        reason: "busy",
        retryAfterMs: limitedMs,
        isLimited: true,
      };
    }
    const mayBeAssigned = mayFit || this.#choice.isCached(request, now);
    const chosen = mayBeAssigned
      ? this.#choose(queued, { pool, decodes: candidates, mayFit }, now)
      : undefined;
    if (!chosen) {
      const mayNoteWaiting = arrivalDecisions &&
        !this.#hasRoom(queued, { pool, decodes: usable }, now);
      if (mayNoteWaiting) this.#setAside.noteWaiting(queued, pool, now);
      return WAIT;
    }
    this.#setAside.noteGrant(pool, now);
    this.#pacer.noteGrant(chosen.decode.incarnation, now);
    if (chosen.prefill) this.#pacer.noteGrant(chosen.prefill.incarnation, now);
    return { type: "assign", ...chosen };
  }

  /** Selects the replicas of a request; undefined: it has to wait. */
  #choose(
    queued: QueuedRequest,
    { pool, decodes, mayFit }: Candidates & { readonly mayFit: boolean },
    now: Milliseconds,
  ): EngineAssignment | undefined {
    const { request, host } = queued;
    const prefills = allowed(request, pool.availablePrefills);
    return this.#choice.assignmentFor(request, {
      host,
      decodes,
      prefills,
      mayPrefillLater: prefills.length <
        allowed(request, pool.healthyPrefills).length,
      mayFit,
      slackMs: queued.dueAt - now,
    }, now);
  }

  #hasRoom(
    { request }: QueuedRequest,
    { pool, decodes }: Candidates,
    now: Milliseconds,
  ): boolean {
    return pool.mayFit(request.tokens, decodes) &&
      this.#choice.hasRoom(request, decodes, now);
  }

  /** Refuses a request that can't start before its caller times out. */
  #refuseEarly(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Outcome {
    const retryAfterMs = this.#forecasts.retryAfterMs(queued, pool, now);
    if (retryAfterMs === undefined) return WAIT;
    const isLimited = Number.isFinite(pool.startRate);
    return { type: "refuse", reason: "busy", retryAfterMs, isLimited };
  }
}

/** The replicas that a request doesn't exclude. */
function allowed(
  { excluded }: PlanRequest,
  entries: readonly ReplicaEntry[],
): readonly ReplicaEntry[] {
  if (excluded.length === 0) return entries;
  return entries.filter(({ incarnation }) => !excluded.includes(incarnation));
}

/**
 * The decode replicas that may serve a request. Only these write its stream, so
 * any version of a prefill replica will do.
 */
function allowedDecodes(
  request: PlanRequest,
  entries: readonly ReplicaEntry[],
): readonly ReplicaEntry[] {
  const { boundTo } = request;
  const open = allowed(request, entries);
  if (boundTo === undefined) return open;
  return open.filter((entry) => hasRequiredVersion(entry, boundTo));
}
