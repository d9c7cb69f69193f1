/**
 * Backoffs that replicas requested from this host. A backoff isn't a failure
 * and doesn't apply to other hosts. It ends only by expiry, not by a success of
 * a request sent before it. Afterwards one trial request is sent, and other
 * requests prefer other replicas until it is answered.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";

/** Caps a backoff, so that a faulty header can't disable a replica for good. */
const MAX_BACKOFF_MS: Milliseconds = 10 * 60_000;
/**
 * Random extension, as a share of the backoff, so that hosts don't resume at
 * once.
 */
const JITTER_RATIO = 0.1;
const MAX_JITTER_MS: Milliseconds = 500;
/** Maximum wait for the response to a trial request. */
const TRIAL_TIMEOUT_MS: Milliseconds = 500;
/** Maximum number of replicas whose backoff is stored. */
const MAX_REPLICAS = 3000;

type Backoff = {
  until: Milliseconds;
  /** A trial request is in flight until then at most. */
  trialUntil: Milliseconds;
};

/** Backoffs by incarnation of the replica. */
export class Backoffs {
  readonly #random: () => number;
  readonly #backoffs = new Map<string, Backoff>();

  /** `random` returns numbers in [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Number of replicas that have accepted no request since their backoff. */
  get size(): number {
    return this.#backoffs.size;
  }

  /** Starts or extends a backoff; returns whether none was in force before. */
  start(incarnation: string, forMs: Milliseconds, now: Milliseconds): boolean {
    if (forMs <= 0) return false;
    const spread = Math.min(MAX_JITTER_MS, forMs * JITTER_RATIO);
    const until = now + Math.min(MAX_BACKOFF_MS, forMs) +
      spread * this.#random();
    const before = this.#backoffs.get(incarnation)?.until ?? -Infinity;
    // Reinserted at the end: the oldest entries are evicted first.
    this.#backoffs.delete(incarnation);
    this.#backoffs.set(incarnation, {
      until: Math.max(until, before),
      trialUntil: -Infinity,
    });
    evictOldest(this.#backoffs, MAX_REPLICAS);
    return before <= now;
  }

  /** Time until requests may be sent to the replica; 0 when they may now. */
  leftMs(incarnation: string, now: Milliseconds): Milliseconds {
    return Math.max(0, (this.#backoffs.get(incarnation)?.until ?? 0) - now);
  }

  /**
   * Time for which other requests prefer other replicas, since a trial request
   * is unanswered; 0 when there is none.
   */
  trialLeftMs(incarnation: string, now: Milliseconds): Milliseconds {
    return Math.max(
      0,
      (this.#backoffs.get(incarnation)?.trialUntil ?? 0) - now,
    );
  }

  /** Records a send; after the backoff it is a trial request. */
  noteSend(incarnation: string, now: Milliseconds): void {
    const backoff = this.#backoffs.get(incarnation);
    if (backoff && now >= backoff.until) {
      backoff.trialUntil = now + TRIAL_TIMEOUT_MS;
    }
  }

  /** Records that the replica accepted a request that was sent at `sentAt`. */
  noteAccepted(incarnation: string, sentAt: Milliseconds): void {
    const backoff = this.#backoffs.get(incarnation);
    if (backoff && sentAt >= backoff.until) this.#backoffs.delete(incarnation);
  }

  /** Number of replicas whose backoff is in force. */
  count(now: Milliseconds): number {
    const all = [...this.#backoffs.values()];
    return all.filter(({ until }) => until > now).length;
  }
}
