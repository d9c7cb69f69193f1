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
import { QueueSimulation } from "./queue_simulation.ts";
import type { RunLengths } from "./run_lengths.ts";

/** Bounds the work of one pass; a request behind so many is not served soon. */
const MAX_SIMULATED = 200;
/**
 * A simulation is kept until as much time has passed as its work is worth, so
 * that small queues are simulated anew in each pass.
 */
const WORK_PER_MS = 10;
/** Longest time for which a simulation is kept. */
const MAX_AGE_MS = 50;

const NEVER: ServiceForecast = { startsAt: Infinity, firstEventAt: Infinity };

/** What a forecast depends on of a waiting request. */
export type SimulatedQueued = Pick<QueuedRequest, "request" | "hasLeft">;

/** Options of {@link ArrivalForecast}. */
export type ArrivalForecastOptions = {
  readonly ledger: Ledger;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
  readonly lengths: RunLengths;
  /** Time from the end of a prefill to the first event. */
  readonly firstEventMs: Milliseconds;
};

/** The simulation of a service, kept between passes. */
type KeptSimulation = {
  readonly simulation: QueueSimulation;
  readonly builtAt: Milliseconds;
  /** Work of the simulations before it. */
  readonly workBefore: number;
  /** The latest pass; its replicas are those of the simulation. */
  pool: PoolSnapshot;
};

/** Forecasts for the requests of one planner. */
export class ArrivalForecast {
  readonly #options: ArrivalForecastOptions;
  readonly #simulations = new Map<string, KeptSimulation>();

  constructor(options: ArrivalForecastOptions) {
    this.#options = options;
  }

  /** When a request is served behind those that wait ahead of it. */
  forecast(
    queued: SimulatedQueued,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): ServiceForecast {
    const place = this.#placeOf(queued, pool, now);
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
    queued: SimulatedQueued,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    return this.#placeOf(queued, pool, now)?.decode;
  }

  /** Records that a request has been assigned. */
  noteGrant(queued: SimulatedQueued, now: Milliseconds): void {
    const known = this.#simulations.get(queued.request.service);
    // One that is outdated is built anew before it is used again.
    if (!known || isOutdated(known, now)) return;
    known.simulation.noteGrant(queued);
  }

  /** Work done for a service; see {@link PoolTimeline.work}. */
  workOf(service: string): number {
    const known = this.#simulations.get(service);
    return known ? known.workBefore + known.simulation.work : 0;
  }

  #placeOf(
    queued: SimulatedQueued,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): Place | undefined {
    if (pool.waiting.length > MAX_SIMULATED) return undefined;
    return this.#simulationOf(queued.request.service, pool, now)
      .placeOf(queued, pool.waiting, now);
  }

  #simulationOf(
    service: string,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): QueueSimulation {
    const known = this.#simulations.get(service);
    if (known?.pool === pool) return known.simulation;
    if (
      known && !isOutdated(known, now) && hasSameReplicas(known.pool, pool)
    ) {
      known.pool = pool;
      return known.simulation;
    }
    const { ledger } = this.#options;
    const rates = this.#options.rates();
    const timeline = new PoolTimeline({ ...this.#options, rates, pool, now });
    const simulation = new QueueSimulation({ timeline, ledger });
    const workBefore = this.workOf(service);
    const kept = { simulation, builtAt: now, workBefore, pool };
    this.#simulations.set(service, kept);
    return simulation;
  }
}

/** Whether the runs have changed so much that they are simulated anew. */
function isOutdated(
  { simulation, builtAt }: KeptSimulation,
  now: Milliseconds,
): boolean {
  const paidMs = simulation.work / WORK_PER_MS;
  return now - builtAt >= Math.min(MAX_AGE_MS, paidMs);
}

function hasSameReplicas(one: PoolSnapshot, other: PoolSnapshot): boolean {
  return one.memory === other.memory &&
    areSame(one.healthyDecodes, other.healthyDecodes) &&
    areSame(one.healthyPrefills, other.healthyPrefills);
}

function areSame(
  one: readonly ReplicaEntry[],
  other: readonly ReplicaEntry[],
): boolean {
  return one.length === other.length &&
    one.every(({ incarnation }, index) =>
      incarnation === other[index]?.incarnation
    );
}
