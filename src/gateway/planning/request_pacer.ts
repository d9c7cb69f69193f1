/**
 * Paces the requests given to replicas that have a rate limit. The pace of a
 * planner is advisory: the owner of the limit counts the requests of all hosts,
 * and after its refusals the planner gives the replica no request for a time.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PlanProgress } from "./messages.ts";
import { MIN_PER_SECOND } from "../limits/allowance.ts";

/**
 * A limited replica is given requests at up to this multiple of its rate, to
 * use up the allowance of an idle period; the limit's owner enforces the rate.
 * Without pacing, all waiting requests would be sent to the replica whose owner
 * grants permits, regardless of priority.
 */
const CATCH_UP_FACTOR = 2;
/** Requests that a limited replica may be given at once. */
const BURST = 2;
/**
 * How long a refusal applies when the host learned of the limit before the
 * planner did; the planner would otherwise choose the replica again at once.
 */
const UNKNOWN_LIMIT_BACKOFF_MS = 500;
/** Maximum number of replicas with a recorded state. */
const MAX_REPLICAS = 3000;

type PacerState = {
  /**
   * Theoretical arrival time of the next request, as in the generic cell rate
   * algorithm (GCRA).
   */
  theoreticalArrivalAt: Milliseconds;
  /** The limit has no room until then. */
  fullUntil: Milliseconds;
  /** When a host was last refused. */
  refusedAt: Milliseconds;
};

/** Paces requests to limited replicas, by incarnation. */
export class RequestPacer {
  readonly #limitOf: (incarnation: string) => number | undefined;
  readonly #states = new Map<string, PacerState>();

  constructor(limitOf: (incarnation: string) => number | undefined) {
    this.#limitOf = limitOf;
  }

  /** Time until the replica may be given a request; 0: now. */
  waitMs(incarnation: string, now: Milliseconds): Milliseconds {
    const perSecond = this.#limitOf(incarnation);
    const state = this.#states.get(incarnation);
    if (!state) return 0;
    if (perSecond === undefined) {
      const until = Math.min(
        state.fullUntil,
        state.refusedAt + UNKNOWN_LIMIT_BACKOFF_MS,
      );
      return Math.max(0, until - now);
    }
    const burstMs = (BURST - 1) * intervalMs(perSecond);
    const allowedAt = Math.max(
      state.theoreticalArrivalAt - burstMs,
      state.fullUntil,
    );
    return Math.max(0, allowedAt - now);
  }

  /** Whether the replica may be given a request now. */
  hasRoom(incarnation: string, now: Milliseconds): boolean {
    return this.waitMs(incarnation, now) === 0;
  }

  /** Time until one of the replicas may be given a request; 0: now. */
  minWaitMs(
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): Milliseconds {
    let minMs = Infinity;
    for (const { incarnation } of replicas) {
      minMs = Math.min(minMs, this.waitMs(incarnation, now));
      if (minMs === 0) return 0;
    }
    return minMs;
  }

  /** Records that the replica is given a request. */
  noteGrant(incarnation: string, now: Milliseconds): void {
    const perSecond = this.#limitOf(incarnation);
    if (perSecond === undefined) return;
    const state = this.#stateOf(incarnation);
    state.theoreticalArrivalAt = Math.max(state.theoreticalArrivalAt, now) +
      intervalMs(perSecond);
  }

  /**
   * Records that a host was refused; if a limit was the reason, `retryAfterMs`
   * is the time until it has room.
   */
  noteFull(
    incarnation: string,
    { retryAfterMs }: Pick<PlanProgress, "retryAfterMs">,
    now: Milliseconds,
  ): void {
    if (retryAfterMs === undefined) return;
    const state = this.#stateOf(incarnation);
    state.refusedAt = now;
    state.fullUntil = Math.max(state.fullUntil, now + retryAfterMs);
  }

  #stateOf(incarnation: string): PacerState {
    const known = this.#states.get(incarnation);
    if (known) return known;
    const state = { theoreticalArrivalAt: 0, fullUntil: 0, refusedAt: 0 };
    this.#states.set(incarnation, state);
    evictOldest(this.#states, MAX_REPLICAS);
    return state;
  }
}

function intervalMs(perSecond: number): Milliseconds {
  return 1000 / (CATCH_UP_FACTOR * Math.max(MIN_PER_SECOND, perSecond));
}
