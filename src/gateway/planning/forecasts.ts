/** Forecasts the waits at the pools of all services, and tracks refusals. */
import type { Milliseconds } from "../../util/units.ts";
import { Admission, type Forecast, type PoolState } from "./admission.ts";
import { type BookingRequest, type Bookings, NO_BOOKINGS } from "./bookings.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { PlanRequest } from "./messages.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import { ReturnShare } from "./return_share.ts";
import { latestReturnAt } from "./return_window.ts";

/**
 * Interval at which a wait is forecast again, because replicas may have been
 * added or removed.
 */
const FORECAST_INTERVAL_MS = 250;
/**
 * The same as a share of the objective: a caller that is told early to retry
 * loses little time.
 */
const FORECAST_SHARE = 0.1;
/** Time from the end of a prefill to the first event, with a margin. */
const FIRST_EVENT_MS = 150;

/** Time from a grant to the caller's first event if the replicas are idle. */
export function firstEventMs(
  pool: Pick<PoolSnapshot, "prefillMs">,
  { promptTokens }: Pick<PlanRequest, "promptTokens">,
): Milliseconds {
  return pool.prefillMs(promptTokens) + FIRST_EVENT_MS;
}

/** The forecasts of one planner. */
export class Forecasts {
  readonly #random: () => number;
  readonly #bookings: Bookings;
  readonly #admissions = new Map<string, Admission>();
  readonly #returnShare = new ReturnShare();

  constructor(random: () => number, bookings: Bookings = NO_BOOKINGS) {
    this.#random = random;
    this.#bookings = bookings;
  }

  /** Counts a request; returns whether it was refused recently. */
  noteRequest(request: PlanRequest, now: Milliseconds): boolean {
    const admission = this.#admissionOf(request.service);
    admission.noteArrival(request, now);
    const wasRefused = admission.wasRefused(request.key, now);
    if (!this.#bookings.isEnabled) return wasRefused;
    return this.#returnShare.mayFavour(request.service, wasRefused, now);
  }

  /** Records the lifetime of an assignment of the service that has ended. */
  noteEnd(service: string, lifetimeMs: Milliseconds): void {
    this.#admissionOf(service).noteEnd(lifetimeMs);
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
    const waitsAnyway = queued.mayHaveRun ||
      (queued.isRetry && !this.#bookings.isEnabled);
    if (waitsAnyway || now < queued.nextForecastAt) return undefined;
    const { service, tokens, key, longestRetryMs, objectiveMs } =
      queued.request;
    queued.nextForecastAt = now +
      (this.#bookings.isEnabled
        ? Math.min(FORECAST_INTERVAL_MS, objectiveMs * FORECAST_SHARE)
        : FORECAST_INTERVAL_MS);
    const admission = this.#admissionOf(service);
    const state = poolState(tokens, pool);
    const unbooked = admission.forecast(state, now);
    const { waitMs, lateWaitMs } = this.#withBooked(
      queued,
      { state, forecast: unbooked },
      now,
    );
    const isOnTime =
      now + waitMs + firstEventMs(pool, queued.request) <= queued.dueAt;
    const isOvertaken = !isOnTime && !queued.isRetry;
    const expectedMs = isOvertaken ? lateWaitMs : waitMs;
    if (now + expectedMs <= queued.abandonAt) return undefined;
    const beginsAt = this.#book(queued, pool, {
      earliestAt: now + unbooked.waitMs,
      costPerMs: admission.startableTokensPerMs(queued.request, state),
    }, now);
    return beginsAt === undefined
      ? admission.refuse({ key, waitMs: expectedMs, longestRetryMs }, now)
      : beginsAt - now;
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
    const booked = this.#bookings.costUntil(service, until, now);
    if (booked === 0) return forecast;
    const tokens = state.tokens + booked;
    return this.#admissionOf(service).forecast({ ...state, tokens }, now);
  }

  #book(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    free: Pick<BookingRequest, "earliestAt" | "costPerMs">,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { request, priority, abandonAt, deadlineAt } = queued;
    const { key, service, tokens } = request;
    return this.#bookings.book({
      ...free,
      key,
      service,
      priority,
      cost: tokens,
      latestAt: Math.min(
        latestReturnAt(queued, now),
        abandonAt - firstEventMs(pool, request),
      ),
      deadlineAt,
    }, now);
  }

  /** The admission of a service; assignment lifetimes differ by service. */
  #admissionOf(service: string): Admission {
    const known = this.#admissions.get(service);
    if (known) return known;
    const admission = new Admission(this.#random);
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
