/** Selects the replica of a plain service for a request. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { minBy } from "./order.ts";
import { meanOf, significantRatio } from "./time_ratio.ts";

/**
 * Below this share of its slots in use a replica responds at once, so the hall
 * decides: a response that stays in its hall survives a partition between
 * halls.
 */
const LOW_UTILIZATION = 0.5;
/**
 * Requests per slot, running and queued, at which a replica's queue is long: a
 * new request waits about as long as two others run. A lower value refuses
 * callers whom the replicas would serve.
 */
const LONG_QUEUE_PER_SLOT = 3;
/** Breaks ties by load; small compared with the remote hall penalty. */
const TIE_BREAK_WEIGHT = 0.02;

/** Options of {@link choosePlainReplica}. */
export type PlainQuery = {
  readonly hall: string;
  /** Cost of a replica in another hall, as a share of its slots. */
  readonly remoteHallPenalty: number;
  /** Requests that all hosts together have at a replica. */
  inFlight(incarnation: string): number;
  /** Expected time of a request in a free slot. */
  callMs(incarnation: string): Milliseconds;
  isPaused(incarnation: string): boolean;
  /** Whether the replica rejected a request recently. */
  isFull(incarnation: string): boolean;
  /**
   * Whether to leave out replicas with long queues, because more urgent
   * requests arrive too and a replica serves its queue in order of arrival.
   */
  readonly avoidsLongQueues: boolean;
};

/**
 * The replica with the least load per slot for its speed, preferably in this
 * hall.
 */
export function choosePlainReplica(
  replicas: readonly ReplicaEntry[],
  query: PlainQuery,
): ReplicaEntry | undefined {
  const healthy = replicas.filter((replica) =>
    !query.isPaused(replica.incarnation)
  );
  const candidates = healthy.length > 0 ? healthy : replicas;
  const usualMs = meanOf(
    candidates.map(({ incarnation }) => query.callMs(incarnation)),
  );
  return minBy(candidates, ({ incarnation, slots, hall }) => {
    if (query.isFull(incarnation)) return Infinity;
    const inFlight = query.inFlight(incarnation);
    if (query.avoidsLongQueues && inFlight >= slots * LONG_QUEUE_PER_SLOT) {
      return Infinity;
    }
    const penalty = hall === query.hall ? 0 : query.remoteHallPenalty;
    const load = inFlight / Math.max(1, slots) *
      significantRatio(query.callMs(incarnation), usualMs);
    return Math.max(LOW_UTILIZATION, load) + penalty + load * TIE_BREAK_WEIGHT;
  });
}
