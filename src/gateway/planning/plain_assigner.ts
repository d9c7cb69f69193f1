/**
 * Assigns requests to the replicas of plain services, which queue requests
 * themselves.
 */
import type { Milliseconds } from "../../util/units.ts";
import { MIN_PER_SECOND } from "../limits/allowance.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Bookings } from "./bookings.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { Ledger } from "./ledger.ts";
import type { RequestPacer } from "./request_pacer.ts";
import type { PlanProgress, PlanRequest } from "./messages.ts";
import type { Outcome } from "./outcome.ts";
import { choosePlainReplica } from "./plain_choice.ts";
import { slotShareInUse } from "./slot_share.ts";
import { ratedCandidates, ratedRequest } from "./rated_candidates.ts";
import type { ReplicaRates } from "./replica_rates.ts";
import { PlainReturns } from "./plain_returns.ts";
import { RateShare } from "./rate_share.ts";
import { RecentPriorities } from "./recent_priorities.ts";
import type { PlannerView } from "./view.ts";

/**
 * Callers of a plain service that is full retry after one to two times this.
 */
const MIN_RETRY_MS = 300;

/**
 * Calls in progress, per slot of the replicas at which none broke lately, from
 * which the others aren't avoided: calls that wait are late.
 */
const NEARLY_FULL_SHARE = 0.75;

/** Options of {@link PlainAssigner}. */
export type PlainAssignerOptions = {
  readonly view: PlannerView;
  readonly ledger: Ledger;
  readonly pacer: RequestPacer;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
  readonly bookings: Bookings;
  /** The replica rejected a request recently, or its limit has no room. */
  isFull(incarnation: string, now: Milliseconds): boolean;
};

/** Selects replicas of plain services. */
export class PlainAssigner {
  readonly #options: PlainAssignerOptions;
  readonly #priorities = new RecentPriorities();
  readonly #shares = new Map<string, RateShare>();
  readonly #returns: PlainReturns;

  constructor(options: PlainAssignerOptions) {
    this.#options = options;
    this.#returns = new PlainReturns(options);
  }

  /** Counts a request for an assignment. */
  noteRequest(request: PlanRequest, now: Milliseconds): void {
    const { service, priority } = request;
    this.#priorities.note(service, priority, now);
    this.#shareOf(service).noteRequest(priority, now);
    this.#returns.noteRequest(request, now);
  }

  /** Handles a host's progress report, before the ledger does. */
  noteProgress(report: PlanProgress, now: Milliseconds): void {
    this.#returns.noteProgress(report, now);
  }

  /**
   * Assigns a request to one of the replicas, of which there must be at least
   * one.
   */
  assign(
    queued: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): Outcome {
    const { view, pacer } = this.#options;
    const { request: { service, longestRetryMs }, priority } = queued;
    const share = this.#shareOf(service);
    const perSecond = this.#rateOf(replicas);
    const isLimited = perSecond !== undefined;
    const mayGrant = !isLimited || queued.mayHaveRun ||
      share.mayGrant(priority, perSecond, now);
    const replica = mayGrant ? this.#choose(queued, replicas, now) : undefined;
    if (replica && this.#returns.admits(queued, { replica, replicas }, now)) {
      const { incarnation } = replica;
      this.#returns.noteGrant(queued.request, replica);
      view.noteTrial(incarnation, now);
      pacer.noteGrant(incarnation, now);
      share.noteGrant(priority, now);
      return { type: "assign", decode: replica };
    }
    const offered = { replicas, perSecond };
    const retryAfterMs = this.#returns.bookedMs(queued, offered, now) ??
      (isLimited
        ? share.retryAfterMs({
          perSecond,
          minWaitMs: pacer.minWaitMs(replicas, now),
          longestRetryMs,
        }, now)
        : MIN_RETRY_MS * (1 + view.random()));
    return { type: "refuse", reason: "busy", retryAfterMs, isLimited };
  }

  /** The replica that is free first; full replicas are left out. */
  #choose(
    queued: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const { view, ledger, isFull } = this.#options;
    const { service, hall } = queued.request;
    const rates = this.#options.rates();
    const request = ratedRequest(queued.host, queued.request);
    const hasRoom = ({ incarnation, slots }: ReplicaEntry) =>
      !isFull(incarnation, now) && ledger.reservedTokensAt(incarnation) < slots;
    const query = { request, hasRoom };
    const rated = ratedCandidates(rates, replicas, query, now);
    const isSteady = (replica: ReplicaEntry) =>
      hasRoom(replica) && !rates.hasBroken(replica.incarnation, now);
    const candidates = this.#avoidsBroken(queued, replicas, now)
      ? steadyOf(rated, isSteady)
      : rated;
    return choosePlainReplica(candidates, {
      hall,
      callMs: (incarnation) => rates.callMs(incarnation),
      remoteHallPenalty: view.remoteHallPenalty,
      inFlight: (incarnation) => ledger.reservedTokensAt(incarnation),
      isPaused: (incarnation) => view.isPaused(incarnation),
      isFull: (incarnation) => isFull(incarnation, now),
      avoidsLongQueues: !queued.mayHaveRun &&
        this.#priorities.hasMoreUrgent(service, queued.priority, now),
    });
  }

  /**
   * Whether a call must not break, and the replicas at which none broke lately
   * could serve all calls of the service.
   */
  #avoidsBroken(
    { request }: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): boolean {
    const { view, ledger } = this.#options;
    if (!view.scheduling.avoidBroken || request.repeatable) return false;
    const rates = this.#options.rates();
    const steady = replicas.filter(({ incarnation }) =>
      !rates.hasBroken(incarnation, now)
    );
    if (steady.length === replicas.length) return false;
    const load = slotShareInUse(ledger, replicas) * slotsOf(replicas);
    return load < NEARLY_FULL_SHARE * slotsOf(steady);
  }

  /**
   * Requests per second that all replicas accept; undefined: one has no limit.
   */
  #rateOf(replicas: readonly ReplicaEntry[]): number | undefined {
    let sum = 0;
    for (const { incarnation } of replicas) {
      const perSecond = this.#options.view.limitOf(incarnation);
      if (perSecond === undefined) return undefined;
      sum += perSecond;
    }
    return Math.max(MIN_PER_SECOND, sum);
  }

  #shareOf(service: string): RateShare {
    const known = this.#shares.get(service);
    if (known) return known;
    const share = new RateShare(this.#options.view.random);
    this.#shares.set(service, share);
    return share;
  }
}

/** The replicas that pass a test, or all if none does. */
function steadyOf(
  replicas: readonly ReplicaEntry[],
  isSteady: (replica: ReplicaEntry) => boolean,
): readonly ReplicaEntry[] {
  const steady = replicas.filter(isSteady);
  return steady.length > 0 ? steady : replicas;
}

function slotsOf(replicas: readonly ReplicaEntry[]): number {
  return replicas.reduce((sum, { slots }) => sum + slots, 0);
}
