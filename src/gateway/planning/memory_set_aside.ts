/**
 * Keeps large requests from starving among small ones: a request that later
 * ones have passed over for some time gets a decode replica to itself, which
 * nothing behind it may use until it fits there.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PoolSnapshot } from "./pool_snapshot.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** How long later requests may pass over one that waits for memory. */
const MAX_PASSED_OVER_MS = 100;
/** Share of the decode replicas that may be set aside; at least one may. */
const MAX_SET_ASIDE_SHARE = 0.25;

/** Selects the replica that has room for a request first. */
export type FirstReplica = (
  queued: QueuedRequest,
  pool: PoolSnapshot,
  now: Milliseconds,
) => ReplicaEntry | undefined;

/** State of one pass over the queue of a service. */
type PassState = {
  /** Requests that wait for memory, in scheduling order. */
  readonly waiting: QueuedRequest[];
  /** The replicas that are set aside for some of them. */
  readonly setAside: Set<string>;
  /** The replicas of an array that were not among the first set aside. */
  allowed?: {
    readonly of: readonly ReplicaEntry[];
    readonly setAside: number;
    readonly replicas: readonly ReplicaEntry[];
  };
};

/** Replicas that are set aside during one pass over a service's queue. */
export class MemorySetAside {
  readonly #states = new WeakMap<PoolSnapshot, PassState>();
  /** The pool that was asked about last, since most passes have only one. */
  #latest: { pool: PoolSnapshot; state: PassState } | undefined;
  readonly #firstReplica: FirstReplica;

  constructor(firstReplica: FirstReplica) {
    this.#firstReplica = firstReplica;
  }

  /** The replicas that the next request in scheduling order may use. */
  allowed(
    pool: PoolSnapshot,
    decodes: readonly ReplicaEntry[],
  ): readonly ReplicaEntry[] {
    const state = this.#stateOf(pool);
    const { setAside, allowed } = state;
    if (setAside.size === 0) return decodes;
    const isCurrent = allowed?.of === decodes &&
      allowed.setAside === setAside.size;
    if (isCurrent) return allowed.replicas;
    const replicas = decodes.filter(({ incarnation }) =>
      !setAside.has(incarnation)
    );
    state.allowed = { of: decodes, setAside: setAside.size, replicas };
    return replicas;
  }

  /** Records that a request has to wait for memory. */
  noteWaiting(
    queued: QueuedRequest,
    pool: PoolSnapshot,
    now: Milliseconds,
  ): void {
    const { waiting, setAside } = this.#stateOf(pool);
    waiting.push(queued);
    const { passedOverAt = Infinity } = queued;
    if (now - passedOverAt < MAX_PASSED_OVER_MS) return;
    const most = Math.max(1, pool.decodes.length * MAX_SET_ASIDE_SHARE);
    if (setAside.size + 1 > most) return;
    const isFree = (incarnation: string) =>
      !setAside.has(incarnation) &&
      pool.healthyDecodes.some((entry) => entry.incarnation === incarnation);
    if (queued.setAside === undefined || !isFree(queued.setAside)) {
      const replica = this.#firstReplica(queued, pool, now)?.incarnation;
      if (replica === undefined || !isFree(replica)) return;
      queued.setAside = replica;
    }
    setAside.add(queued.setAside);
  }

  /** Records that a request was assigned before those that wait ahead of it. */
  noteGrant(pool: PoolSnapshot, now: Milliseconds): void {
    for (const ahead of this.#stateOf(pool).waiting) {
      ahead.passedOverAt ??= now;
    }
  }

  #stateOf(pool: PoolSnapshot): PassState {
    if (this.#latest?.pool === pool) return this.#latest.state;
    const known = this.#states.get(pool);
    const state: PassState = known ??
      { waiting: [], setAside: new Set<string>() };
    if (!known) this.#states.set(pool, state);
    this.#latest = { pool, state };
    return state;
  }
}
