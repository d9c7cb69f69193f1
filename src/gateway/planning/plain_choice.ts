/** Which replica of a plain service takes a request; pure. */
import type { ReplicaEntry } from "../replicas/model.ts";
import { least } from "./order.ts";

/**
 * Below this share of its slots a replica answers a request at once, so the
 * hall decides: an answer that stays in its hall isn't lost when halls are cut
 * off from each other.
 */
const ROOMY_SHARE = 0.5;
/**
 * Requests a slot, running and queued, at which a replica's queue is long: a
 * request then waits about as long as two others run. With a lower one callers
 * are refused whom the replicas would serve.
 */
const LONG_QUEUE = 3;
/** Breaks ties by load; small compared with the charge for another hall. */
const TIE_WEIGHT = 0.02;

/** What a choice goes by. */
export type PlainQuery = {
  readonly hall: string;
  /** What being in another hall counts as, as a share of the slots. */
  readonly farCharge: number;
  /** Requests that the whole fleet has at a replica. */
  inFlight(incarnation: string): number;
  isPaused(incarnation: string): boolean;
  /** Whether the replica rejected a request a moment ago. */
  isFull(incarnation: string): boolean;
  /**
   * More urgent requests come too. A replica serves its queue in the order of
   * arrival, so the less urgent are not sent to the end of a long one.
   */
  readonly yieldsWhenFull: boolean;
};

/** The replica with the least load for its slots, preferably in this hall. */
export function choosePlain(
  replicas: readonly ReplicaEntry[],
  query: PlainQuery,
): ReplicaEntry | undefined {
  const sound = replicas.filter((one) => !query.isPaused(one.incarnation));
  const candidates = sound.length > 0 ? sound : replicas;
  return least(candidates, ({ incarnation, slots, hall }) => {
    if (query.isFull(incarnation)) return Infinity;
    const taken = query.inFlight(incarnation);
    if (query.yieldsWhenFull && taken >= slots * LONG_QUEUE) return Infinity;
    const far = hall === query.hall ? 0 : query.farCharge;
    const share = taken / Math.max(1, slots);
    return Math.max(ROOMY_SHARE, share) + far + share * TIE_WEIGHT;
  });
}
