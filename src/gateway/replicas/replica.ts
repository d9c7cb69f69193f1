/** This host's local state of one replica. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "./model.ts";

/** The first pause after failures; doubles with each further failure. */
const INITIAL_PAUSE_MS = 400;
const MAX_PAUSE_MS = 5000;
/**
 * After a pause the replica gets one trial call at a time; the next is sent
 * after a success or this timeout. A failed connection attempt is known by
 * then.
 */
const TRIAL_TIMEOUT_MS = 500;
/** Consecutive failures after which a replica is paused. */
const FAILURES_TO_PAUSE = 2;

/** Maximum number of recorded sends of a replica. */
const MAX_UNCOUNTED_SENDS = 256;

/** One replica with this host's state of it. */
export class Replica {
  entry: ReplicaEntry;
  /** Calls of this host that are in flight. */
  activeCalls = 0;
  /** Times of recent sends that were counted against no limit, oldest first. */
  #uncountedSends: Milliseconds[] = [];
  #failures = 0;
  #pausedUntil: Milliseconds = 0;

  constructor(entry: ReplicaEntry) {
    this.entry = entry;
  }

  /** Whether the replica is paused after failures. */
  isPaused(now: Milliseconds): boolean {
    return now < this.#pausedUntil;
  }

  /** Failures since the last success. */
  get failures(): number {
    return this.#failures;
  }

  /** Records a send that is counted against no limit. */
  noteSend(now: Milliseconds): void {
    if (this.#uncountedSends.length >= MAX_UNCOUNTED_SENDS) {
      this.#uncountedSends.shift();
    }
    this.#uncountedSends.push(now);
  }

  /** Removes all uncounted sends; returns those since `oldest`. */
  takeSends(oldest: Milliseconds): Milliseconds[] {
    const sends = this.#uncountedSends.filter((at) => at >= oldest);
    this.#uncountedSends = [];
    return sends;
  }

  /** Records a call; after failures it pauses the replica as a trial call. */
  noteTrial(now: Milliseconds): void {
    if (this.#failures < FAILURES_TO_PAUSE) return;
    this.#pausedUntil = Math.max(this.#pausedUntil, now + TRIAL_TIMEOUT_MS);
  }

  /** Records a successful call. */
  noteSuccess(): void {
    this.#failures = 0;
    this.#pausedUntil = 0;
  }

  /** Records a failed call; `severe` pauses the replica at once. */
  noteFailure(now: Milliseconds, severe: boolean): void {
    this.#failures += severe ? FAILURES_TO_PAUSE : 1;
    if (this.#failures < FAILURES_TO_PAUSE) return;
    const doublings = Math.min(8, this.#failures - FAILURES_TO_PAUSE);
    const pauseMs = Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** doublings);
    this.#pausedUntil = now + pauseMs;
  }
}
