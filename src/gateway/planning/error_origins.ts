/**
 * Tells error responses of a replica from those of a route, and measures
 * whether retries of them succeed. The load that it answers: a replica that
 * fails the calls that its peers serve, and a route whose calls fail at every
 * replica, so that retries only add load.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import { DecayingSum } from "./decaying_sum.ts";

/** What an error response of a replica to a route's request is due to. */
export const ErrorOrigin = {
  /** The replica fails far more than its peers. */
  replica: "replica",
  /** The route fails alike at most replicas. */
  route: "route",
  /** Too few errors to tell. */
  unclear: "unclear",
} as const;
/** One of the values of {@link ErrorOrigin}. */
export type ErrorOrigin = typeof ErrorOrigin[keyof typeof ErrorOrigin];

/** Time in which a count decays to 1/e. */
const DECAY_MS = 10_000;
/** Responses of a replica to a route below which its share says nothing. */
const MIN_RESPONSES = 5;
/** Errors of a replica below which it isn't told from its peers. */
const MIN_ERRORS = 3;
/** Excess over the expected errors, in standard deviations of a count. */
const EXCESS_DEVIATIONS = 3;
/** Share of errors from which a route counts as failing. */
const MIN_ROUTE_SHARE = 0.05;
/** A replica with a smaller part of its peers' share has errors of its own. */
const MIN_PART_OF_PEERS = 1 / 3;
/** Retries, of which half succeeded, that are assumed before any is known. */
const PRIOR_RETRIES = 4;
/** Share of successes below which retries stop, and from which they resume. */
const STOP_SHARE = 0.25;
const RESUME_SHARE = 0.4;
/** Maximum number of recorded routes, and of replicas of one route. */
const MAX_ROUTES = 500;
const MAX_REPLICAS = 600;

/** A request to a replica. */
export type RoutedCall = {
  readonly service: string;
  readonly route: string;
  readonly incarnation: string;
};

/** A change of whether error responses of a route are retried. */
export type RetryChange = {
  readonly isStopped: boolean;
  /** Recent retries, and how many of them succeeded. */
  readonly retries: number;
  readonly succeeded: number;
};

type Count = { readonly responses: DecayingSum; readonly errors: DecayingSum };
type RouteCounts = {
  readonly service: string;
  readonly byReplica: Map<string, Count>;
  readonly retries: DecayingSum;
  readonly succeeded: DecayingSum;
  isStopped: boolean;
};

/** Counts of one planner, by service and route. */
export class ErrorOrigins {
  readonly #routes = new Map<string, RouteCounts>();

  /** Counts a response. */
  note(call: RoutedCall, isError: boolean, now: Milliseconds): void {
    const { byReplica } = this.#countsOf(call);
    const known = byReplica.get(call.incarnation);
    const count = known ??
      { responses: new DecayingSum(), errors: new DecayingSum() };
    if (!known) byReplica.set(call.incarnation, count);
    evictOldest(byReplica, MAX_REPLICAS);
    count.responses.add(1, now, DECAY_MS);
    if (isError) count.errors.add(1, now, DECAY_MS);
  }

  /**
   * Counts the response to a retry of an error response; returns whether
   * retries of the route stop or resume with it.
   */
  noteRetry(
    call: RoutedCall,
    isError: boolean,
    now: Milliseconds,
  ): RetryChange | undefined {
    const counts = this.#countsOf(call);
    counts.retries.add(1, now, DECAY_MS);
    if (!isError) counts.succeeded.add(1, now, DECAY_MS);
    const share = successShare(counts, now);
    const isStopped = share < (counts.isStopped ? RESUME_SHARE : STOP_SHARE);
    if (isStopped === counts.isStopped) return undefined;
    counts.isStopped = isStopped;
    return {
      isStopped,
      retries: Math.round(counts.retries.at(now, DECAY_MS)),
      succeeded: Math.round(counts.succeeded.at(now, DECAY_MS)),
    };
  }

  /** What an error response of the replica is due to. */
  originOf(call: RoutedCall, now: Milliseconds): ErrorOrigin {
    if (this.isReplicaFailing(call, now)) return ErrorOrigin.replica;
    const counts = this.#routes.get(keyOf(call));
    const peersShare = counts && peerShare(counts, call.incarnation, now);
    if (peersShare === undefined || peersShare < MIN_ROUTE_SHARE) {
      return ErrorOrigin.unclear;
    }
    const own = counts?.byReplica.get(call.incarnation);
    const ownShare = own && shareOf(own, now);
    if (ownShare === undefined || ownShare < MIN_PART_OF_PEERS * peersShare) {
      return ErrorOrigin.unclear;
    }
    return ErrorOrigin.route;
  }

  /**
   * Whether the replica fails more calls of all its routes than its peers would
   * have failed.
   */
  isReplicaFailing(
    { service, incarnation }: Omit<RoutedCall, "route">,
    now: Milliseconds,
  ): boolean {
    let errors = 0;
    let expected = 0;
    for (const counts of this.#routes.values()) {
      const own = counts.byReplica.get(incarnation);
      if (counts.service !== service || !own) continue;
      const peersShare = peerShare(counts, incarnation, now);
      if (peersShare === undefined) continue;
      errors += own.errors.at(now, DECAY_MS);
      expected += own.responses.at(now, DECAY_MS) * peersShare;
    }
    const excess = EXCESS_DEVIATIONS * Math.sqrt(expected + 1);
    return errors >= MIN_ERRORS && errors >= expected + excess;
  }

  /** Whether a retry at another replica is likely to succeed. */
  isRetryUseful(call: RoutedCall, now: Milliseconds): boolean {
    const counts = this.#routes.get(keyOf(call));
    if (!counts || successShare(counts, now) >= STOP_SHARE) return true;
    return this.isReplicaFailing(call, now);
  }

  #countsOf(call: RoutedCall): RouteCounts {
    const key = keyOf(call);
    const counts = this.#routes.get(key) ?? {
      service: call.service,
      byReplica: new Map<string, Count>(),
      retries: new DecayingSum(),
      succeeded: new DecayingSum(),
      isStopped: false,
    };
    // The routes that were used last are evicted last.
    this.#routes.delete(key);
    this.#routes.set(key, counts);
    evictOldest(this.#routes, MAX_ROUTES);
    return counts;
  }
}

function keyOf({ service, route }: RoutedCall): string {
  return JSON.stringify([service, route]);
}

/** The share of retries that succeed, close to the prior with few samples. */
function successShare(
  { retries, succeeded }: RouteCounts,
  now: Milliseconds,
): number {
  return (succeeded.at(now, DECAY_MS) + PRIOR_RETRIES / 2) /
    (retries.at(now, DECAY_MS) + PRIOR_RETRIES);
}

/**
 * The median share of errors at the other replicas, which a few replicas that
 * fail on their own don't change; undefined without samples.
 */
function peerShare(
  { byReplica }: RouteCounts,
  incarnation: string,
  now: Milliseconds,
): number | undefined {
  const shares: number[] = [];
  for (const [peer, count] of byReplica) {
    const share = peer === incarnation ? undefined : shareOf(count, now);
    if (share !== undefined) shares.push(share);
  }
  shares.sort((a, b) => a - b);
  return shares[Math.floor((shares.length - 1) / 2)];
}

function shareOf(
  { responses, errors }: Count,
  now: Milliseconds,
): number | undefined {
  const total = responses.at(now, DECAY_MS);
  return total < MIN_RESPONSES ? undefined : errors.at(now, DECAY_MS) / total;
}
