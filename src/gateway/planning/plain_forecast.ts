/**
 * Predicts when a replica of a plain service ends a call. Replicas run up to
 * `slots` calls at a time and queue the others in order of arrival.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { ReplicaEntry } from "../replicas/model.ts";

/** Service time of a call, until one has ended. */
const INITIAL_CALL_MS: Milliseconds = 50;
/** Weight of the latest call in the mean service time of its replica. */
const SAMPLE_WEIGHT = 0.1;
/** Maximum number of replicas with a recorded service time. */
const MAX_REPLICAS = 3000;

/** The fields of a replica that a forecast depends on. */
export type ForecastReplica = Pick<ReplicaEntry, "incarnation" | "slots">;

/** A call that has ended. */
export type EndedCall = {
  /** Time from its assignment to its complete response. */
  readonly lifetimeMs: Milliseconds;
  /** Calls that its replica had when it was assigned. */
  readonly callsAhead: number;
};

/** Service times of plain replicas, observed by one planner. */
export class PlainForecast {
  readonly #inFlight: (incarnation: string) => number;
  readonly #callMs = new Map<string, Milliseconds>();

  /** `inFlight`: calls that all hosts together have at a replica. */
  constructor(inFlight: (incarnation: string) => number) {
    this.#inFlight = inFlight;
  }

  /** Records that a call got its complete response. */
  noteEnd(
    { incarnation, slots }: ForecastReplica,
    { lifetimeMs, callsAhead }: EndedCall,
  ): void {
    const sampleMs = lifetimeMs / (1 + callsToWaitFor(callsAhead, slots));
    const known = this.#callMs.get(incarnation);
    const meanMs = known === undefined
      ? sampleMs
      : known + (sampleMs - known) * SAMPLE_WEIGHT;
    this.#callMs.set(incarnation, meanMs);
    evictOldest(this.#callMs, MAX_REPLICAS);
  }

  /** Mean service time of a call in a free slot. */
  callMs(incarnation: string): Milliseconds {
    return this.#callMs.get(incarnation) ?? INITIAL_CALL_MS;
  }

  /** Time until a new call gets a slot. */
  waitMs({ incarnation, slots }: ForecastReplica): Milliseconds {
    return callsToWaitFor(this.#inFlight(incarnation), slots) *
      this.callMs(incarnation);
  }

  /** Time until a new call ends. */
  endMs(replica: ForecastReplica): Milliseconds {
    return this.waitMs(replica) + this.callMs(replica.incarnation);
  }

  /** Calls per millisecond that the replicas can run together. */
  callsPerMs(replicas: readonly ForecastReplica[]): number {
    return replicas.reduce(
      (sum, { incarnation, slots }) => sum + slots / this.callMs(incarnation),
      0,
    );
  }
}

/** Number of service times until a new call gets a slot. */
function callsToWaitFor(callsAhead: number, slots: number): number {
  return Math.max(0, callsAhead + 1 - slots) / Math.max(1, slots);
}
