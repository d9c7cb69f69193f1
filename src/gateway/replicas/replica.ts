/** What this host knows of one replica beyond its entry. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "./model.ts";

/** First pause after a failure; doubles with each further one. */
const PAUSE_MS = 400;
const LONGEST_PAUSE_MS = 5000;
/**
 * After its pause a replica is tried with one call at a time; the next goes
 * when it has succeeded, or after this time. A connection that does not come
 * about is known by then.
 */
const TRIAL_MS = 500;
/** Failures in a row before a replica is passed over. */
const FAILURES_TO_PAUSE = 2;

/** Bounds what is remembered of a replica that takes many requests. */
const MOST_SENDS = 256;

/** One replica with this host's own use of it. */
export class Replica {
  entry: ReplicaEntry;
  /** Calls of this host that it has not ended. */
  calls = 0;
  /** Requests sent of late without being counted, the oldest first. */
  #sends: Milliseconds[] = [];
  #failures = 0;
  #pausedUntil: Milliseconds = 0;

  constructor(entry: ReplicaEntry) {
    this.entry = entry;
  }

  /** Whether it is passed over for its failures. */
  paused(now: Milliseconds): boolean {
    return now < this.#pausedUntil;
  }

  /** Failures since its last success. */
  get failures(): number {
    return this.#failures;
  }

  /** A request is sent to it that nobody counts. */
  noteSend(now: Milliseconds): void {
    if (this.#sends.length >= MOST_SENDS) this.#sends.shift();
    this.#sends.push(now);
  }

  /** Forgets and gives the sends that nobody has counted since `oldest`. */
  takeSends(oldest: Milliseconds): Milliseconds[] {
    const sends = this.#sends.filter((at) => at >= oldest);
    this.#sends = [];
    return sends;
  }

  /** A call goes to it: after failures, others wait for how it goes. */
  noteTry(now: Milliseconds): void {
    if (this.#failures < FAILURES_TO_PAUSE) return;
    this.#pausedUntil = Math.max(this.#pausedUntil, now + TRIAL_MS);
  }

  /** A call was answered as it should be. */
  noteSuccess(): void {
    this.#failures = 0;
    this.#pausedUntil = 0;
  }

  /** A call failed or hung; `severe` pauses it at once. */
  noteFailure(now: Milliseconds, severe: boolean): void {
    this.#failures += severe ? FAILURES_TO_PAUSE : 1;
    if (this.#failures < FAILURES_TO_PAUSE) return;
    const doublings = Math.min(8, this.#failures - FAILURES_TO_PAUSE);
    const pause = Math.min(LONGEST_PAUSE_MS, PAUSE_MS * 2 ** doublings);
    this.#pausedUntil = now + pause;
  }
}
