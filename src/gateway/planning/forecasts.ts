/** Forecasts the waits at the pools of all services, and tracks refusals. */
import type { Milliseconds } from "../../util/units.ts";
import { Admission } from "./admission.ts";
import { ArrivalDecision } from "./arrival_decision.ts";
import { ArrivalForecast } from "./arrival_forecast.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import type { PlanRequest } from "./messages.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import { expectedStart, kindOf } from "./pool_timeline.ts";
import type { ReplicaRates } from "./replica_rates.ts";
import type { QueuedRequest } from "./request_queue.ts";
import { RunLengths } from "./run_lengths.ts";
import { ServedShares } from "./served_shares.ts";
import type { PlannerView } from "./view.ts";

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

/** Options of {@link Forecasts}. */
export type ForecastsOptions = {
  readonly view: Pick<
    PlannerView,
    "random" | "scheduling" | "events" | "metrics"
  >;
  readonly ledger: Ledger;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
};

/** The forecasts of one planner. */
export class Forecasts {
  readonly #options: ForecastsOptions;
  readonly #admissions = new Map<string, Admission>();
  readonly #lengths = new RunLengths();
  readonly #shares = new ServedShares();
  readonly #arrivals: ArrivalDecision;
  /** When a request is served that arrives at a full pool. */
  readonly arrival: ArrivalForecast;

  constructor(options: ForecastsOptions) {
    this.#options = options;
    const { view, ledger, rates } = options;
    this.arrival = new ArrivalForecast({
      ledger,
      rates,
      lengths: this.#lengths,
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
    const isRetry = admission.wasRefused(request.key, now);
    if (this.#isOn && !isRetry) this.#shares.noteRequest(request, now);
    return isRetry;
  }

  /** Whether the priority of a request is owed service. */
  isPriorityOwed(request: PlanRequest, now: Milliseconds): boolean {
    return this.#isOn && this.#shares.isPriorityOwed(request, now);
  }

  /** Records the assignment of a request that has waited. */
  noteGrant(queued: QueuedRequest, now: Milliseconds): void {
    if (!this.#isOn) return;
    this.#arrivals.noteGrant(queued, now);
  }

  /** Records an assignment of the service that has ended with its response. */
  noteEnd(service: string, entry: LedgerEntry, now: Milliseconds): void {
    this.#admissionOf(service).noteEnd(now - entry.grantedAt);
    if (!this.#isOn) return;
    const { ledger } = this.#options;
    const rates = this.#options.rates();
    const startedAt = expectedStart({ ledger, rates, now }, entry);
    const expectedMs = rates.runMs(entry.decode, entry.outputTokens);
    this.#lengths.note(kindOf(entry), expectedMs, now - startedAt);
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
    const waitMs = this.#isOn
      ? this.#arrivals.refusedWaitMs(queued, { pool, admission }, now)
      : this.#refusedWaitMs(queued, { pool, admission }, now);
    if (waitMs === undefined) return undefined;
    return admission.refuse({ key, waitMs, longestRetryMs }, now);
  }

  /** The forecast wait of a request that is refused. */
  #refusedWaitMs(
    queued: QueuedRequest,
    { pool, admission }: { pool: PoolSnapshot; admission: Admission },
    now: Milliseconds,
  ): Milliseconds | undefined {
    if (queued.mayHaveRun || queued.isRetry || now < queued.nextForecastAt) {
      return undefined;
    }
    queued.nextForecastAt = now + FORECAST_INTERVAL_MS;
    const { waitMs, lateWaitMs } = admission.forecast({
      tokens: queued.request.tokens + pool.ahead.tokens,
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
    return now + expectedMs <= queued.abandonAt ? undefined : expectedMs;
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
