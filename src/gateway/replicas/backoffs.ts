/**
 * Replicas that asked this host to send them nothing for a time. It is no
 * failure, says nothing of how they serve others, and only time ends it: a
 * success that was under way when a replica asked doesn't. Afterwards one
 * request tries the replica while others, if they can, go elsewhere.
 */
import type { Milliseconds } from "../../util/units.ts";
import { forgetOldest } from "../../util/forget_oldest.ts";

/** A faulty header takes a replica out for no longer than this. */
const LONGEST_MS: Milliseconds = 10 * 60_000;
/**
 * Hosts that were asked at the same moment come back over this part of the
 * time, and no longer than this.
 */
const SPREAD = 0.1;
const LONGEST_SPREAD_MS: Milliseconds = 500;
/** A request that tries a replica is waited for so long. */
const TRIAL_MS: Milliseconds = 500;
/** Replicas whose backoff is kept. */
const MOST_REPLICAS = 3000;

type Backoff = {
  until: Milliseconds;
  /** A request tries the replica until then. */
  trialUntil: Milliseconds;
};

/** Backoffs by the replicas' incarnations. */
export class Backoffs {
  readonly #random: () => number;
  readonly #backoffs = new Map<string, Backoff>();

  /** `random` gives numbers in [0, 1). */
  constructor(random: () => number) {
    this.#random = random;
  }

  /** Replicas that asked, and of which no success is known since. */
  get size(): number {
    return this.#backoffs.size;
  }

  /** The replica asks for `forMs`; gives whether it was in use until now. */
  ask(incarnation: string, forMs: Milliseconds, now: Milliseconds): boolean {
    if (forMs <= 0) return false;
    const spread = Math.min(LONGEST_SPREAD_MS, forMs * SPREAD);
    const until = now + Math.min(LONGEST_MS, forMs) + spread * this.#random();
    const before = this.#backoffs.get(incarnation)?.until ?? -Infinity;
    // The newest are last.
    this.#backoffs.delete(incarnation);
    this.#backoffs.set(incarnation, {
      until: Math.max(until, before),
      trialUntil: -Infinity,
    });
    forgetOldest(this.#backoffs, MOST_REPLICAS);
    return before <= now;
  }

  /** Time until the replica may be sent something; 0: now. */
  leftMs(incarnation: string, now: Milliseconds): Milliseconds {
    return Math.max(0, (this.#backoffs.get(incarnation)?.until ?? 0) - now);
  }

  /**
   * The replica was sent a request after its backoff and hasn't answered: time
   * for which others go elsewhere; 0: they needn't.
   */
  trialMs(incarnation: string, now: Milliseconds): Milliseconds {
    return Math.max(
      0,
      (this.#backoffs.get(incarnation)?.trialUntil ?? 0) - now,
    );
  }

  /** A request goes to the replica. */
  noteSend(incarnation: string, now: Milliseconds): void {
    const backoff = this.#backoffs.get(incarnation);
    if (backoff && now >= backoff.until) backoff.trialUntil = now + TRIAL_MS;
  }

  /** The replica took a request that was sent at `sentAt`. */
  noteTaken(incarnation: string, sentAt: Milliseconds): void {
    const backoff = this.#backoffs.get(incarnation);
    if (backoff && sentAt >= backoff.until) this.#backoffs.delete(incarnation);
  }

  /** Replicas that are left alone now. */
  count(now: Milliseconds): number {
    const all = [...this.#backoffs.values()];
    return all.filter(({ until }) => until > now).length;
  }
}
