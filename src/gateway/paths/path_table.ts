/**
 * The state of this host's paths to replicas: which have failed, and when a path
 * is checked or tried again.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";

/**
 * While other replicas respond to this host, a replica may be silent for this
 * long before its path is checked: it is likely to be at work.
 */
const BUSY_SILENCE_MS = 600;
/** Minimum time between two checks of a path that was found to be intact. */
const CHECK_INTERVAL_MS = 1000;
/** A failed path is tried again after this time, then at each interval. */
const FIRST_RETRY_MS = 250;
const RETRY_INTERVAL_MS = 1000;
/** Minimum time between two checks of all paths that are in use. */
const CHECK_ALL_INTERVAL_MS = 1000;
/** Maximum number of paths that are checked because another one was lost. */
const MAX_CHECKED_AT_ONCE = 24;
/** Number of other replicas that are tried after a refused connection. */
const MAX_CONFIRMATIONS = 2;
/** Maximum number of replicas of which state is stored. */
const MAX_REPLICAS = 3000;

/** A path over which this host does not reach a replica. */
export type FailedPath = {
  readonly entry: ReplicaEntry;
  readonly since: Milliseconds;
  /** A peer reaches the replica; otherwise the replica itself may be down. */
  readonly isReachedByPeer: boolean;
  retryAt: Milliseconds;
  isRetrying: boolean;
};

/** When the path of a call without a response is checked. */
export type SilenceCheck = {
  readonly isDue: boolean;
  /** Time until the next check. */
  readonly nextMs: Milliseconds;
};

/** The paths of this host to all replicas. */
export class PathTable {
  readonly #failed = new Map<string, FailedPath>();
  /** When the path was last found intact, by incarnation. */
  readonly #intactAt = new Map<string, Milliseconds>();
  readonly #checking = new Set<string>();
  #lastReceivedAt = -Infinity;
  #checkedAllAt = -Infinity;

  /** The replicas that only this host does not reach. */
  get lost(): readonly ReplicaEntry[] {
    return [...this.#failed.values()].filter((path) => path.isReachedByPeer)
      .map(({ entry }) => entry);
  }

  /** Whether this host does not reach some replica. */
  get hasFailed(): boolean {
    return this.#failed.size > 0;
  }

  /** Whether this host does not reach the replica, but a peer does. */
  isLost(incarnation: string): boolean {
    return this.#failed.get(incarnation)?.isReachedByPeer ?? false;
  }

  /** Whether neither this host nor a peer reaches the replica. */
  isUnreachable(incarnation: string): boolean {
    return this.#failed.get(incarnation)?.isReachedByPeer === false;
  }

  /** Records that a replica responded over this host's own path. */
  noteReceived(now: Milliseconds): void {
    this.#lastReceivedAt = now;
  }

  /** Records that this host does not reach a replica; false: it was known. */
  noteFailed(
    entry: ReplicaEntry,
    { isReachedByPeer, now }: Pick<FailedPath, "isReachedByPeer"> & {
      readonly now: Milliseconds;
    },
  ): boolean {
    const { incarnation } = entry;
    const known = this.#failed.get(incarnation);
    if (known?.isReachedByPeer === isReachedByPeer) return false;
    this.#failed.set(incarnation, {
      entry,
      since: known?.since ?? now,
      isReachedByPeer,
      retryAt: now + FIRST_RETRY_MS,
      isRetrying: known?.isRetrying ?? false,
    });
    evictOldest(this.#failed, MAX_REPLICAS);
    return true;
  }

  /** Records that this host connected to the replica. */
  noteIntact(incarnation: string, now: Milliseconds): void {
    this.#intactAt.delete(incarnation);
    this.#intactAt.set(incarnation, now);
    evictOldest(this.#intactAt, MAX_REPLICAS);
  }

  /** Forgets a replica that is no longer listed. */
  removeReplica(incarnation: string): void {
    this.#failed.delete(incarnation);
    this.#intactAt.delete(incarnation);
  }

  /** Whether to check the path of a call that was sent at `sentAt`. */
  checkSilence(sentAt: Milliseconds, now: Milliseconds): SilenceCheck {
    const silentMs = now - sentAt;
    const othersRespond = this.#lastReceivedAt > sentAt;
    return othersRespond && silentMs < BUSY_SILENCE_MS
      ? { isDue: false, nextMs: BUSY_SILENCE_MS - silentMs }
      : { isDue: true, nextMs: CHECK_INTERVAL_MS };
  }

  /**
   * Starts a check; false: the path has failed, is being checked, or was found
   * to be intact a moment ago.
   */
  startCheck(incarnation: string, now: Milliseconds): boolean {
    if (this.#failed.has(incarnation)) return false;
    if (this.#checking.has(incarnation)) return false;
    const intactAt = this.#intactAt.get(incarnation) ?? -Infinity;
    if (now - intactAt < CHECK_INTERVAL_MS) return false;
    this.#checking.add(incarnation);
    return true;
  }

  /** Ends a check. */
  endCheck(incarnation: string): void {
    this.#checking.delete(incarnation);
  }

  /**
   * Chooses the replicas whose paths are checked because another path was lost:
   * the last of the given ones, at most once per interval.
   */
  chooseChecked(
    entries: readonly ReplicaEntry[],
    now: Milliseconds,
  ): readonly ReplicaEntry[] {
    if (now - this.#checkedAllAt < CHECK_ALL_INTERVAL_MS) return [];
    this.#checkedAllAt = now;
    return entries.slice(-MAX_CHECKED_AT_ONCE);
  }

  /**
   * Chooses the replicas to which connections confirm that a refusal by another
   * one is its own.
   */
  chooseConfirming(
    entries: readonly ReplicaEntry[],
    refusing: ReplicaEntry,
  ): readonly ReplicaEntry[] {
    return entries
      .filter(({ address, incarnation }) =>
        address !== refusing.address && !this.#failed.has(incarnation)
      )
      .slice(-MAX_CONFIRMATIONS);
  }

  /** Starts to try a failed path again; undefined: it is not time to. */
  startRetry(incarnation: string, now: Milliseconds): FailedPath | undefined {
    const path = this.#failed.get(incarnation);
    if (!path || path.isRetrying || now < path.retryAt) return undefined;
    path.isRetrying = true;
    return path;
  }

  /**
   * Starts to try unreachable replicas again whose paths are not being tried;
   * the last ones that failed, since one of them may be in use.
   */
  startUnreachableRetries(): readonly FailedPath[] {
    const paths = [...this.#failed.values()]
      .filter(({ isReachedByPeer, isRetrying }) =>
        !isReachedByPeer && !isRetrying
      )
      .slice(-MAX_CHECKED_AT_ONCE);
    for (const path of paths) path.isRetrying = true;
    return paths;
  }

  /** Ends a retry; false: the path's state has changed meanwhile. */
  endRetry(path: FailedPath, now: Milliseconds): boolean {
    path.isRetrying = false;
    // No request is sent to an unreachable replica, so it is tried more often.
    path.retryAt = now +
      (path.isReachedByPeer ? RETRY_INTERVAL_MS : FIRST_RETRY_MS);
    return this.#failed.get(path.entry.incarnation) === path;
  }

  /** Records that a failed path is intact again. */
  noteHealed({ entry: { incarnation } }: FailedPath, now: Milliseconds): void {
    this.#failed.delete(incarnation);
    this.noteIntact(incarnation, now);
    // The paths to other replicas have probably healed, too.
    for (const other of this.#failed.values()) other.retryAt = now;
  }
}
