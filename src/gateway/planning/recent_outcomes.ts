/**
 * Outcomes of the recent requests at each replica. The load that it answers:
 * replicas that fail a part of their requests, and hosts or data halls that
 * can't reach a replica which serves the others.
 */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";

/** How a request at a replica ended. */
export type RequestOutcome = {
  readonly host: string;
  /** The host's data hall; undefined if the planner doesn't know it. */
  readonly hall: string | undefined;
  readonly isGood: boolean;
  readonly at: Milliseconds;
};

/** Failures of a replica's recent requests. */
export type FailureFigures = {
  readonly failures: number;
  readonly requests: number;
};

/** The host that sends a request. */
export type Sender = { readonly host: string; readonly hall: string };

/** Outcomes that are kept of one replica, and for how long. */
const MAX_OUTCOMES = 20;
const MAX_AGE_MS = 10_000;
const MAX_REPLICAS = 3000;
/** A replica fails if it has this many failures and this share of them. */
const MIN_FAILURES = 3;
const MIN_FAILURE_SHARE = 0.25;
/** How many times more failures it has than the rest of its pool. */
const MIN_RATIO_TO_POOL = 3;
/** Requests, of which one failed, that are assumed before any is known. */
const PRIOR_REQUESTS = 10;
/** Requests that may fail by chance, as a multiple of what is expected. */
const CHANCE_FACTOR = 3;
/** Failures after which one host, or one hall, avoids a replica. */
const HOST_FAILURES = 2;
const HALL_FAILURES = 3;
/** How long it avoids the replica after the last failure. */
const AVOID_MS = 2000;

/** Overtaken calls in a row after which a replica stalls, and for how long. */
const STALLED_CALLS = 2;
const STALLED_MS = 1000;

type OvertakenCalls = { readonly inRow: number; readonly at: Milliseconds };

/** Recent outcomes by incarnation. */
export class RecentOutcomes {
  readonly #outcomes = new Map<string, RequestOutcome[]>();
  /** When each replica failed last. */
  readonly #failedAt = new Map<string, Milliseconds>();

  /** When a request broke off last at each replica. */
  readonly #brokenAt = new Map<string, Milliseconds>();
  /** Calls that another attempt overtook, since the last outcome. */
  readonly #overtaken = new Map<string, OvertakenCalls>();

  /** Records a call that another attempt overtook; returns how many in a row. */
  noteOvertaken(incarnation: string, now: Milliseconds): number {
    const inRow = (this.#overtaken.get(incarnation)?.inRow ?? 0) + 1;
    this.#overtaken.set(incarnation, { inRow, at: now });
    evictOldest(this.#overtaken, MAX_REPLICAS);
    return inRow;
  }

  /** Whether the last calls there were overtaken, and none was answered since. */
  isStalled(incarnation: string, now: Milliseconds): boolean {
    const overtaken = this.#overtaken.get(incarnation);
    return overtaken !== undefined && overtaken.inRow >= STALLED_CALLS &&
      now - overtaken.at < STALLED_MS;
  }

  /** Records how a request ended. */
  note(incarnation: string, outcome: RequestOutcome): void {
    this.#overtaken.delete(incarnation);
    const outcomes = this.#outcomes.get(incarnation) ?? [];
    this.#outcomes.set(incarnation, outcomes);
    outcomes.push(outcome);
    if (outcomes.length > MAX_OUTCOMES) outcomes.shift();
    evictOldest(this.#outcomes, MAX_REPLICAS);
    if (outcome.isGood) return;
    this.#failedAt.set(incarnation, outcome.at);
    evictOldest(this.#failedAt, MAX_REPLICAS);
  }

  /** Records a request that broke off without a response. */
  noteBroken(incarnation: string, now: Milliseconds): void {
    this.#brokenAt.set(incarnation, now);
    evictOldest(this.#brokenAt, MAX_REPLICAS);
  }

  /** Whether a request broke off there within the time that it is avoided. */
  hasBroken(incarnation: string, now: Milliseconds): boolean {
    const brokenAt = this.#brokenAt.get(incarnation);
    return brokenAt !== undefined && now - brokenAt < AVOID_MS;
  }

  /** Forgets the outcomes of a replica. */
  forget(incarnation: string): void {
    this.#outcomes.delete(incarnation);
    this.#failedAt.delete(incarnation);
    this.#overtaken.delete(incarnation);
  }

  /**
   * The figures of a replica that fails for several hosts, and more than the
   * others of its pool; undefined: it doesn't.
   */
  failing(
    incarnation: string,
    pool: readonly string[],
    now: Milliseconds,
  ): FailureFigures | undefined {
    const outcomes = this.#recent(incarnation, now);
    const failed = outcomes.filter((outcome) => !outcome.isGood);
    const share = failed.length / Math.max(1, outcomes.length);
    if (failed.length < MIN_FAILURES || share < MIN_FAILURE_SHARE) {
      return undefined;
    }
    if (isSeenByFew(outcomes, failed)) return undefined;
    const others = pool.filter((other) => other !== incarnation)
      .flatMap((other) => this.#recent(other, now));
    const othersFailed = others.filter((outcome) => !outcome.isGood).length;
    const expectedShare = (othersFailed + 1) /
      (others.length + PRIOR_REQUESTS);
    const isPoolFailing = others.length > 0 &&
      share < MIN_RATIO_TO_POOL * othersFailed / others.length;
    if (isPoolFailing) return undefined;
    const byChance = CHANCE_FACTOR * expectedShare * outcomes.length;
    if (failed.length < MIN_FAILURES + byChance) return undefined;
    return { failures: failed.length, requests: outcomes.length };
  }

  /** Whether a recent request has succeeded there. */
  hasServed(incarnation: string, now: Milliseconds): boolean {
    return this.#recent(incarnation, now).some(({ isGood }) => isGood);
  }

  /** Whether a request failed there within the time that it is avoided. */
  hasFailed(incarnation: string, now: Milliseconds): boolean {
    const failedAt = this.#failedAt.get(incarnation);
    return failedAt !== undefined && now - failedAt < AVOID_MS;
  }

  /**
   * Whether requests of this host avoid the replica, because its last requests
   * there, or those of its hall, failed while others succeed.
   */
  isAvoidedBy(
    { host, hall }: Sender,
    incarnation: string,
    now: Milliseconds,
  ): boolean {
    if (!this.hasFailed(incarnation, now)) return false;
    const outcomes = this.#recent(incarnation, now);
    const ofHost = outcomes.filter((outcome) => outcome.host === host);
    if (endsWithFailures(ofHost, HOST_FAILURES)) return true;
    const ofHall = outcomes.filter((outcome) => outcome.hall === hall);
    return outcomes.some((other) => other.isGood && other.hall !== hall) &&
      endsWithFailures(ofHall, HALL_FAILURES);
  }

  #recent(incarnation: string, now: Milliseconds): readonly RequestOutcome[] {
    const outcomes = this.#outcomes.get(incarnation) ?? [];
    return outcomes.filter(({ at }) => now - at < MAX_AGE_MS);
  }
}

/** Whether all failures are those of one host or hall that others don't have. */
function isSeenByFew(
  outcomes: readonly RequestOutcome[],
  failed: readonly RequestOutcome[],
): boolean {
  const isShared = (origin: (outcome: RequestOutcome) => string | undefined) =>
    new Set(failed.map(origin)).size > 1 ||
    new Set(outcomes.map(origin)).size === 1;
  return !isShared(({ host }) => host) || !isShared(({ hall }) => hall);
}

function endsWithFailures(
  outcomes: readonly RequestOutcome[],
  count: number,
): boolean {
  const last = outcomes.slice(-count);
  return last.length === count && last.every((outcome) => !outcome.isGood);
}
