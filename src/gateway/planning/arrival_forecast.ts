/**
 * Forecasts when a request is served that arrives at a full pool: simulates the
 * requests that are scheduled before it, in their order, on the expected memory
 * use of the replicas.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { MIN_PER_SECOND } from "../limits/allowance.ts";
import type { Ledger } from "./ledger.ts";
import type { ServiceForecast } from "./memory_profile.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import { type Place, PoolTimeline } from "./pool_timeline.ts";
import type { ReplicaRates } from "./replica_rates.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { RunLengths } from "./run_lengths.ts";

/** Bounds the work of one pass; a request behind so many is not served soon. */
const MAX_SIMULATED = 200;

const NEVER: ServiceForecast = { startsAt: Infinity, firstEventAt: Infinity };

/** Options of {@link ArrivalForecast}. */
export type ArrivalForecastOptions = {
  readonly ledger: Ledger;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
  readonly lengths: RunLengths;
  /** Time from the end of a prefill to the first event. */
  readonly firstEventMs: Milliseconds;
};

/** The simulation of a pool during one pass. */
type Simulation = {
  readonly timeline: PoolTimeline;
  /** Grants of the pass that the timeline contains. */
  readonly grants: number;
  /** Number of waiting requests that have been given a place. */
  placed: number;
};

/** Forecasts for the requests of one planner. */
export class ArrivalForecast {
  readonly #options: ArrivalForecastOptions;
  readonly #simulations = new WeakMap<PoolSnapshot, Simulation>();

  constructor(options: ArrivalForecastOptions) {
    this.#options = options;
  }

  /** When a request is served behind those that wait ahead of it. */
  forecast(
    queued: Pick<QueuedRequest, "request">,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): ServiceForecast {
    if (pool.waiting.length > MAX_SIMULATED) return NEVER;
    const place = this.#placeOf(queued, this.#timelineOf(pool, now));
    if (!place) return NEVER;
    const { startsAt, firstEventAt } = place;
    // Replicas with limits accept the requests ahead at a steady rate.
    const limitedMs = pool.ahead.requests * 1000 /
      Math.max(MIN_PER_SECOND, pool.startRate);
    const delayMs = Math.max(0, now + limitedMs - startsAt);
    return {
      startsAt: startsAt + delayMs,
      firstEventAt: firstEventAt + delayMs,
    };
  }

  /** The decode replica that has room first, behind those that wait ahead. */
  firstReplica(
    queued: Pick<QueuedRequest, "request">,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    return this.#placeOf(queued, this.#timelineOf(pool, now))?.decode;
  }

  #placeOf(
    { request }: Pick<QueuedRequest, "request">,
    timeline: PoolTimeline,
  ): Place | undefined {
    return timeline.placeFor(request);
  }

  /** The timeline with all requests in it that wait ahead of the next. */
  #timelineOf(pool: PoolSnapshot, now: Milliseconds): PoolTimeline {
    const known = this.#simulations.get(pool);
    const isCurrent = known?.grants === pool.grants;
    const simulation = known && isCurrent ? known : {
      timeline: new PoolTimeline({
        ...this.#options,
        rates: this.#options.rates(),
        pool,
        now,
      }),
      grants: pool.grants,
      placed: 0,
    };
    this.#simulations.set(pool, simulation);
    const { timeline } = simulation;
    for (; simulation.placed < pool.waiting.length; simulation.placed++) {
      const ahead = pool.waiting[simulation.placed];
      const place = ahead && this.#placeOf(ahead, timeline);
      if (place) timeline.take(place, ahead.request.promptTokens);
    }
    return timeline;
  }
}
