/**
 * Decides once, at its arrival, whether a request that can't be assigned at once
 * is served. It is admitted if its first event is expected in time, or if it is
 * late but the pool has spare capacity to serve it before its caller gives up.
 * Everything else is refused at once, so that no caller of an overloaded pool
 * waits in vain. What was admitted is refused only if replicas were lost since.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { Admission } from "./admission.ts";
import type { ArrivalForecast } from "./arrival_forecast.ts";
import type { ServiceForecast } from "./memory_profile.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { ServedShares } from "./served_shares.ts";
import type { PlannerView } from "./view.ts";

/** Share of its objective within which a request is refused at once. */
const PROMPT_REFUSAL_SHARE = 0.125;

/**
 * After much work for a service, its next decisions wait until as much time has
 * passed as the work is worth.
 */
const WORK_PER_MS = 100;
/** Keeps refusals within an eighth of common objectives. */
const MAX_DECISION_DELAY_MS = 50;

/** Options of {@link ArrivalDecision}. */
export type ArrivalDecisionOptions = {
  readonly view: Pick<PlannerView, "events" | "metrics">;
  readonly forecast: Pick<ArrivalForecast, "forecast" | "workOf">;
  readonly shares: Pick<
    ServedShares,
    "isPriorityOwed" | "isSizeOwed" | "noteGrant"
  >;
};

/** The pool of a request and the load that is offered to it. */
export type OfferedPool = {
  readonly pool: PoolSnapshot;
  readonly admission: Pick<Admission, "lateWaitMs" | "urgentWaitMs">;
};

/** How long a request waits, and how it is admitted if that is in time. */
type Wait = {
  readonly waitMs: Milliseconds;
  readonly isOnTime: boolean;
  /** Its priority is owed service, so it goes before more urgent ones. */
  readonly isPromoted: boolean;
  /** Its priority or its size is owed service. */
  readonly isOwed: boolean;
};

const NEVER: ServiceForecast = { startsAt: Infinity, firstEventAt: Infinity };

/** State of a service between passes. */
type ServiceState = {
  decodes: number;
  /** How often decode replicas were lost. */
  losses: number;
  /** The pass that forecast last, and when; absent before the first. */
  pool?: PoolSnapshot;
  forecastAt: Milliseconds;
  /** Work for the service before that pass. */
  workBefore: number;
};

/** Decides about the requests that wait at one planner. */
export class ArrivalDecision {
  readonly #options: ArrivalDecisionOptions;
  readonly #states = new Map<string, ServiceState>();

  constructor(options: ArrivalDecisionOptions) {
    this.#options = options;
  }

  /** The wait of a request that is refused; undefined: it is admitted. */
  refusedWaitMs(
    queued: QueuedRequest,
    offered: OfferedPool,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { service } = queued.request;
    const state = this.#stateOf(service, offered.pool);
    const { losses } = state;
    if (queued.mayHaveRun || queued.admission?.losses === losses) {
      return undefined;
    }
    const work = this.#options.forecast.workOf(service);
    if (!isDue(state, { pool: offered.pool, work }, now)) return undefined;
    queued.forecast = this.#options.forecast.forecast(
      queued,
      offered.pool,
      now,
    );
    const wait = this.#waitOf(queued, offered, now);
    if (now + wait.waitMs >= queued.abandonAt) {
      this.#noteRefusal(queued, now);
      return wait.waitMs;
    }
    const { metrics } = this.#options.view;
    if (!queued.admission) {
      metrics.count(wait.isOnTime ? "admitted_on_time" : "admitted_late");
    }
    const { isOnTime, isPromoted, isOwed } = wait;
    const startsBy = isOwed ? now : isOnTime ? Infinity : now + wait.waitMs;
    queued.admission = { isOnTime, isPromoted, startsBy, losses };
    if (isOwed) this.#noteOwed(queued, now);
    return undefined;
  }

  /** Compares the assignment of a request with its forecast. */
  noteGrant(queued: QueuedRequest, now: Milliseconds): void {
    this.#noteServed(queued, now);
    const { admission, forecast } = queued;
    if (!admission || !forecast) return;
    const startsBy = admission.isOnTime
      ? forecast.startsAt
      : Math.max(admission.startsBy, forecast.startsAt);
    const kind = admission.isOnTime ? "on_time" : "late";
    const outcome = now <= startsBy ? "kept" : "missed";
    this.#options.view.metrics.count(`forecasts_${kind}_${outcome}`);
  }

  /** How long a request waits, and as what it is admitted. */
  #waitOf(
    queued: QueuedRequest,
    { pool, admission }: OfferedPool,
    now: Milliseconds,
  ): Wait {
    const { request, dueAt } = queued;
    const { startsAt, firstEventAt } = queued.forecast ?? NEVER;
    const waitMs = startsAt - now;
    const { forecastMemory: memory, prefillRate, startRate } = pool;
    const { priority } = request;
    const { shares } = this.#options;
    const isPromoted = shares.isPriorityOwed(request, now);
    const urgentWaitMs = isPromoted
      ? waitMs
      : admission.urgentWaitMs(waitMs, { memory, priority }, now);
    if (firstEventAt - waitMs + urgentWaitMs <= dueAt) {
      const isOwed = isPromoted;
      return { waitMs: urgentWaitMs, isOnTime: true, isPromoted, isOwed };
    }
    if (isPromoted || shares.isSizeOwed(request, now)) {
      const isOwed = true;
      return { waitMs: urgentWaitMs, isOnTime: false, isPromoted, isOwed };
    }
    const lateWaitMs = hasWaited(queued, now)
      ? urgentWaitMs
      : admission.lateWaitMs(waitMs, { memory, prefillRate, startRate }, now);
    const isOwed = false;
    return { waitMs: lateWaitMs, isOnTime: false, isPromoted, isOwed };
  }

  /** Counts a request as served already, so that no others are owed as well. */
  #noteOwed(queued: QueuedRequest, now: Milliseconds): void {
    this.#noteServed(queued, now);
    queued.passedOverAt ??= now;
  }

  /** Counts a request once towards the shares of its groups. */
  #noteServed(queued: QueuedRequest, now: Milliseconds): void {
    if (queued.isCounted) return;
    queued.isCounted = true;
    this.#options.shares.noteGrant(queued.request, now);
  }

  #noteRefusal(
    { request, admission, forecast = NEVER }: QueuedRequest,
    now: Milliseconds,
  ): void {
    const { events, metrics } = this.#options.view;
    metrics.count(admission ? "admissions_revoked" : "refused_at_arrival");
    if (!admission) return;
    const { service, priority } = request;
    const forecastMs = Number.isFinite(forecast.firstEventAt)
      ? Math.round(forecast.firstEventAt - now)
      : undefined;
    events.note("admissionRevoked", { service, priority, forecastMs });
  }

  #stateOf(service: string, pool: PoolSnapshot): ServiceState {
    const decodes = pool.decodes.length;
    const known = this.#states.get(service);
    const state: ServiceState = known ??
      { decodes, losses: 0, forecastAt: 0, workBefore: 0 };
    if (!known) this.#states.set(service, state);
    if (decodes < state.decodes) state.losses += 1;
    state.decodes = decodes;
    return state;
  }
}

/** Whether a pass may forecast: it does so already, or the next one is due. */
function isDue(
  state: ServiceState,
  { pool, work }: { readonly pool: PoolSnapshot; readonly work: number },
  now: Milliseconds,
): boolean {
  if (state.pool === pool) return true;
  const paidMs = (work - state.workBefore) / WORK_PER_MS;
  const delayMs = Math.min(MAX_DECISION_DELAY_MS, paidMs);
  if (state.pool && now < state.forecastAt + delayMs) return false;
  state.pool = pool;
  state.forecastAt = now;
  state.workBefore = work;
  return true;
}

/** Whether it is too late to refuse a request at once. */
function hasWaited(
  { request, dueAt }: QueuedRequest,
  now: Milliseconds,
): boolean {
  const waitedMs = now - (dueAt - request.objectiveMs);
  return waitedMs > request.objectiveMs * PROMPT_REFUSAL_SHARE;
}
