/** Forecasts the waits at the pools of all services, and tracks refusals. */
import type { Milliseconds } from "../../util/units.ts";
import { Admission, type Forecast, type PoolState } from "./admission.ts";
import { ArrivalDecision } from "./arrival_decision.ts";
import { ArrivalForecast } from "./arrival_forecast.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import type { Bookings } from "./bookings.ts";
import type { PlanRequest } from "./messages.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import { expectedStart, kindOf } from "./pool_timeline.ts";
import type { ReplicaRates } from "./replica_rates.ts";
import type { QueuedRequest } from "./request_queue.ts";
import { ReturnShare } from "./return_share.ts";
import { RunLengths } from "./run_lengths.ts";
import { ServedShares } from "./served_shares.ts";
import type { PlannerView } from "./view.ts";
import { latestReturnAt } from "./return_window.ts";

/**
 * Interval at which a wait is forecast again, because replicas may have been
 * added or removed. It bounds how long a request that can no longer be served
 * waits: an eighth of the time for which callers wait for a first event (at
 * least 2 s).
 */
const FORECAST_INTERVAL_MS = 250;
/**
 * Upper bound of that interval with booked returns, as a share of the
 * objective: the sooner a request is refused, the sooner its caller can retry.
 */
const FORECAST_SHARE = 0.1;
/** Share of the accepted delay from which places are given in an overload. */
const LATEST_START_SHARE = 0.67;
/**
 * Time from the end of a prefill to the first event, with a margin: under load
 * every request is served near the last moment at which it can be.
 */
const FIRST_EVENT_MS = 150;

/** Time from a grant to the caller's first event if the replicas are idle. */
export function firstEventMs(
  pool: Pick<PoolSnapshot, "prefillMs">,
  { promptTokens }: Pick<PlanRequest, "promptTokens">,
): Milliseconds {
  return pool.prefillMs(promptTokens) + FIRST_EVENT_MS;
}

/** Options of {@link Forecasts}. */
export type ForecastsOptions = {
  readonly view: Pick<
    PlannerView,
    "random" | "scheduling" | "events" | "metrics"
  >;
  readonly ledger: Ledger;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
  readonly bookings: Bookings;
};

/** The forecasts of one planner. */
export class Forecasts {
  readonly #options: ForecastsOptions;
  readonly #admissions = new Map<string, Admission>();
  /** Durations of the runs that have ended. */
  readonly lengths = new RunLengths();
  readonly #shares = new ServedShares();
  readonly #returnShare = new ReturnShare();
  readonly #arrivals: ArrivalDecision;
  /** When a request is served that arrives at a full pool. */
  readonly arrival: ArrivalForecast;

  constructor(options: ForecastsOptions) {
    this.#options = options;
    const { view, ledger, rates } = options;
    this.arrival = new ArrivalForecast({
      ledger,
      rates,
      lengths: this.lengths,
      firstEventMs: FIRST_EVENT_MS,
    });
    this.#arrivals = new ArrivalDecision({
      view,
      forecast: this.arrival,
      shares: this.#shares,
    });
  }

  get #isOn(): boolean {
    return this.#options.view.scheduling.arrivalDecisions;
  }

  /** Counts a request; returns whether it was refused recently. */
  noteRequest(request: PlanRequest, now: Milliseconds): boolean {
    const admission = this.#admissionOf(request.service);
    admission.noteArrival(request, now);
    const wasRefused = admission.wasRefused(request.key, now);
    if (this.#isOn && !wasRefused) this.#shares.noteRequest(request, now);
    return this.#options.bookings.isEnabled
      ? this.#returnShare.mayFavour(request.service, wasRefused, now)
      : wasRefused;
  }

  /** Whether the priority of a request is owed service. */
  isPriorityOwed(request: PlanRequest, now: Milliseconds): boolean {
    return this.#isOn && this.#shares.isPriorityOwed(request, now);
  }

  /** Records the assignment of a request that has waited. */
  noteGrant(queued: QueuedRequest, now: Milliseconds): void {
    if (!this.#isOn) return;
    this.#arrivals.noteGrant(queued, now);
    this.arrival.noteGrant(queued, now);
  }

  /** Records an assignment of the service that has ended with its response. */
  noteEnd(service: string, entry: LedgerEntry, now: Milliseconds): void {
    this.#admissionOf(service).noteEnd(now - entry.grantedAt);
    if (!this.#isOn) return;
    const { ledger } = this.#options;
    const rates = this.#options.rates();
    const startedAt = expectedStart({ ledger, rates, now }, entry);
    const expectedMs = rates.runMs(entry.decode, entry.outputTokens);
    this.lengths.note(kindOf(entry), expectedMs, now - startedAt);
  }

  /**
   * The retry delay of a request that can't start before its caller times out;
   * undefined: it can, or no forecast is due yet.
   */
  retryAfterMs(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { service, key, longestRetryMs } = queued.request;
    const admission = this.#admissionOf(service);
    const refusedMs = this.#isOn
      ? this.#arrivals.refusedWaitMs(queued, { pool, admission }, now)
      : this.#refusedWaitMs(queued, pool, now);
    if (refusedMs === undefined) return undefined;
    return this.#bookedMs(queued, pool, now) ??
      admission.refuse({ key, waitMs: refusedMs, longestRetryMs }, now);
  }

  /** The time until the place booked for a request; undefined without one. */
  #bookedMs(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Milliseconds | undefined {
    if (!this.#options.bookings.isEnabled) return undefined;
    const admission = this.#admissionOf(queued.request.service);
    const state = poolState(queued.request.tokens, pool);
    const waitMs = this.#isOn
      ? (queued.forecast?.startsAt ?? Infinity) - now
      : admission.forecast(state, now).waitMs;
    const beginsAt = this.#book(queued, pool, {
      lateWaitMs: admission.lateWaitMs(waitMs, state, now),
      costPerMs: admission.startableTokensPerMs(queued.request, state),
    }, now);
    return beginsAt === undefined ? undefined : beginsAt - now;
  }

  /** The forecast wait of a request that is refused. */
  #refusedWaitMs(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { isEnabled } = this.#options.bookings;
    const waitsAnyway = queued.mayHaveRun || (queued.isRetry && !isEnabled);
    if (waitsAnyway || now < queued.nextForecastAt) return undefined;
    const { service, tokens, objectiveMs } = queued.request;
    queued.nextForecastAt = now +
      (isEnabled
        ? Math.min(FORECAST_INTERVAL_MS, objectiveMs * FORECAST_SHARE)
        : FORECAST_INTERVAL_MS);
    const state = poolState(tokens, pool);
    const forecast = this.#admissionOf(service).forecast(state, now);
    const { waitMs, lateWaitMs } = this.#withBooked(
      queued,
      { state, forecast },
      now,
    );
    const isOnTime =
      now + waitMs + firstEventMs(pool, queued.request) <= queued.dueAt;
    const isOvertaken = !isOnTime && !queued.isRetry;
    const expectedMs = isOvertaken ? lateWaitMs : waitMs;
    return now + expectedMs <= queued.abandonAt ? undefined : expectedMs;
  }

  /** Adds the booked places that begin before a request can start. */
  #withBooked(
    { request: { service }, isRetry }: QueuedRequest,
    { state, forecast }: {
      readonly state: PoolState;
      readonly forecast: Forecast;
    },
    now: Milliseconds,
  ): Forecast {
    if (isRetry) return forecast;
    const until = now + forecast.waitMs;
    const booked = this.#options.bookings.costUntil(service, until, now);
    if (booked === 0) return forecast;
    const tokens = state.tokens + booked;
    return this.#admissionOf(service).forecast({ ...state, tokens }, now);
  }

  /**
   * Books a place for a request. Its return is late already, so the place is as
   * late as if all requests that arrive in the meantime went first, but at most
   * in the last part of the time that the caller accepts.
   */
  #book(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    { lateWaitMs, costPerMs }: {
      readonly lateWaitMs: Milliseconds;
      readonly costPerMs: number;
    },
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { request, priority, abandonAt, deadlineAt } = queued;
    const { key, service, tokens } = request;
    const latestAt = Math.min(
      latestReturnAt(queued, now),
      abandonAt - firstEventMs(pool, request),
    );
    const longestWaitMs = Math.max(0, latestAt - now) * LATEST_START_SHARE;
    return this.#options.bookings.book({
      key,
      service,
      priority,
      cost: tokens,
      costPerMs,
      earliestAt: now + Math.min(lateWaitMs, longestWaitMs),
      latestAt,
      deadlineAt,
    }, now);
  }

  /** The admission of a service; assignment lifetimes differ by service. */
  #admissionOf(service: string): Admission {
    const known = this.#admissions.get(service);
    if (known) return known;
    const admission = new Admission(this.#options.view.random);
    this.#admissions.set(service, admission);
    return admission;
  }
}

function poolState(tokens: number, pool: PoolSnapshot): PoolState {
  return {
    tokens: tokens + pool.ahead.tokens,
    reserved: pool.forecastReserved,
    memory: pool.forecastMemory,
    requests: 1 + pool.ahead.requests,
    startRate: pool.startRate,
    promptTokens: pool.pendingPromptTokens,
    prefillRate: pool.prefillRate,
  };
}
