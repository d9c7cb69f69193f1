/** Forecasts the waits at the pools of all services, and tracks refusals. */
import type { Milliseconds } from "../../util/units.ts";
import { Admission } from "./admission.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { PlanRequest } from "./messages.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";

/**
 * Interval at which a wait is forecast again, because replicas may have been
 * added or removed.
 */
const FORECAST_INTERVAL_MS = 250;
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
  readonly #admissions = new Map<string, Admission>();

  constructor(random: () => number) {
    this.#random = random;
  }

  /** Counts a request; returns whether it was refused recently. */
  noteRequest(request: PlanRequest, now: Milliseconds): boolean {
    const admission = this.#admissionOf(request.service);
    admission.noteArrival(request, now);
    return admission.wasRefused(request.key, now);
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
    if (queued.mayHaveRun || queued.isRetry || now < queued.nextForecastAt) {
      return undefined;
    }
    queued.nextForecastAt = now + FORECAST_INTERVAL_MS;
    const { service, tokens, key, longestRetryMs } = queued.request;
    const admission = this.#admissionOf(service);
    const { waitMs, lateWaitMs } = admission.forecast({
      tokens: tokens + pool.ahead.tokens,
      reserved: pool.forecastReserved,
      memory: pool.forecastMemory,
      requests: 1 + pool.ahead.requests,
      startRate: pool.startRate,
      promptTokens: pool.pendingPromptTokens,
      prefillRate: pool.prefillRate,
    }, now);
    const isOnTime =
      now + waitMs + firstEventMs(pool, queued.request) <= queued.dueAt;
    const expectedMs = isOnTime ? waitMs : lateWaitMs;
    if (now + expectedMs <= queued.abandonAt) return undefined;
    return admission.refuse({ key, waitMs: expectedMs, longestRetryMs }, now);
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
