/**
 * Assigns requests to the replicas of plain services, which queue requests
 * themselves.
 */
import type { Milliseconds } from "../../util/units.ts";
import { MIN_PER_SECOND } from "../limits/allowance.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Bookings } from "./bookings.ts";
import { DecayingSum } from "./decaying_sum.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { Ledger } from "./ledger.ts";
import type { RequestPacer } from "./request_pacer.ts";
import {
  AssignmentStage,
  type PlanProgress,
  type PlanRequest,
} from "./messages.ts";
import type { Outcome } from "./outcome.ts";
import { admitsCall, RESPONSE_MS } from "./plain_admission.ts";
import { choosePlainReplica } from "./plain_choice.ts";
import { PlainForecast } from "./plain_forecast.ts";
import { RateShare } from "./rate_share.ts";
import { RecentPriorities } from "./recent_priorities.ts";
import type { PlannerView } from "./view.ts";

/**
 * Callers of a plain service that is full retry after one to two times this.
 */
const MIN_RETRY_MS = 300;
/** Time constant of the measured rate of calls. */
const OFFERED_WINDOW_MS = 500;
/**
 * A replica that ends a call within this share of the time left until it is due
 * is fast enough.
 */
const EASY_SHARE = 0.25;

/** Options of {@link PlainAssigner}. */
export type PlainAssignerOptions = {
  readonly view: PlannerView;
  readonly ledger: Ledger;
  readonly pacer: RequestPacer;
  readonly bookings: Bookings;
  /** The replica rejected a request recently, or its limit has no room. */
  isFull(incarnation: string, now: Milliseconds): boolean;
};

/** Selects replicas of plain services. */
export class PlainAssigner {
  readonly #options: PlainAssignerOptions;
  readonly #priorities = new RecentPriorities();
  readonly #shares = new Map<string, RateShare>();
  readonly #forecast: PlainForecast;
  /** Calls that arrived recently, by service. */
  readonly #offered = new Map<string, DecayingSum>();

  constructor(options: PlainAssignerOptions) {
    this.#options = options;
    this.#forecast = new PlainForecast((incarnation) =>
      options.ledger.reservedTokensAt(incarnation)
    );
  }

  /** Counts a request for an assignment; those of model services don't count. */
  noteRequest({ service, priority }: PlanRequest, now: Milliseconds): void {
    if (this.#options.view.memoryOf(service) !== 0) return;
    this.#priorities.note(service, priority, now);
    this.#shareOf(service).noteRequest(priority, now);
    if (!this.#options.bookings.isEnabled) return;
    this.#offeredTo(service).add(1, now, OFFERED_WINDOW_MS);
  }

  /** Records the duration of a call, before the ledger drops its assignment. */
  noteProgress({ id, stage }: PlanProgress, now: Milliseconds): void {
    const { view, ledger, bookings } = this.#options;
    if (!bookings.isEnabled || stage !== AssignmentStage.answered) return;
    const entry = ledger.get(id);
    if (entry?.service === undefined) return;
    const { decode, service, grantedAt, tokensAhead } = entry;
    if (view.memoryOf(service) !== 0) return;
    const replica = view.replicasOf(service)
      .find(({ incarnation }) => incarnation === decode);
    if (!replica) return;
    const lifetimeMs = now - grantedAt;
    this.#forecast.noteEnd(replica, { lifetimeMs, callsAhead: tokensAhead });
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
    if (replica && this.#admits(queued, replica, replicas, now)) {
      const { incarnation } = replica;
      view.noteTrial(incarnation, now);
      pacer.noteGrant(incarnation, now);
      share.noteGrant(priority, now);
      return { type: "assign", decode: replica };
    }
    const retryAfterMs = this.#bookedMs(queued, replicas, perSecond, now) ??
      (isLimited
        ? share.retryAfterMs({
          perSecond,
          minWaitMs: pacer.minWaitMs(replicas, now),
          longestRetryMs,
        }, now)
        : MIN_RETRY_MS * (1 + view.random()));
    return { type: "refuse", reason: "busy", retryAfterMs, isLimited };
  }

  /** Whether the call is worth running at the replica chosen for it. */
  #admits(
    queued: QueuedRequest,
    replica: ReplicaEntry,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): boolean {
    const { bookings } = this.#options;
    if (!bookings.isEnabled || queued.mayHaveRun) return true;
    const { service } = queued.request;
    const hasPlace = queued.claim.type === "claimed";
    const endAt = now + this.#forecast.endMs(replica);
    const callsPerMs = this.#forecast.callsPerMs(replicas);
    const booked = hasPlace ? 0 : bookings.costUntil(service, endAt, now);
    return admitsCall({
      endAt: endAt + booked / callsPerMs,
      dueAt: queued.dueAt,
      deadlineAt: queued.deadlineAt,
      hasPlace,
      isOverloaded: this.#offeredTo(service).at(now, OFFERED_WINDOW_MS) >
        callsPerMs * OFFERED_WINDOW_MS,
    });
  }

  /** Books a place for a refused call; returns the time until it begins. */
  #bookedMs(
    queued: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    perSecond: number | undefined,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { bookings, pacer } = this.#options;
    if (!bookings.isEnabled || queued.mayHaveRun) return undefined;
    const { request, priority, deadlineAt } = queued;
    const { key, service, longestRetryMs } = request;
    const waitMs = Math.min(
      ...replicas.map((replica) => this.#forecast.waitMs(replica)),
    );
    const callMs = Math.max(
      ...replicas.map(({ incarnation }) => this.#forecast.callMs(incarnation)),
    );
    const limitPerMs = (perSecond ?? Infinity) / 1000;
    const beginsAt = bookings.book({
      key,
      service,
      priority,
      cost: 1,
      costPerMs: Math.min(this.#forecast.callsPerMs(replicas), limitPerMs),
      earliestAt: now + Math.max(waitMs, pacer.minWaitMs(replicas, now)),
      latestAt: Math.min(
        now + longestRetryMs,
        deadlineAt - callMs - RESPONSE_MS,
      ),
      deadlineAt,
    }, now);
    return beginsAt === undefined ? undefined : beginsAt - now;
  }

  /** The best replica; full replicas are left out. */
  #choose(
    queued: QueuedRequest,
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaEntry | undefined {
    const { view, ledger, bookings, isFull } = this.#options;
    const { service, hall } = queued.request;
    const easyMs = Math.max(0, queued.dueAt - now) * EASY_SHARE;
    const callMs = (incarnation: string) => this.#forecast.callMs(incarnation);
    return choosePlainReplica(replicas, {
      hall,
      remoteHallPenalty: view.remoteHallPenalty,
      inFlight: (incarnation) => ledger.reservedTokensAt(incarnation),
      isPaused: (incarnation) => view.isPaused(incarnation),
      isFull: (incarnation) => isFull(incarnation, now),
      avoidsLongQueues: !queued.mayHaveRun &&
        this.#priorities.hasMoreUrgent(service, queued.priority, now),
      times: bookings.isEnabled ? { callMs, easyMs } : undefined,
    });
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

  #offeredTo(service: string): DecayingSum {
    const known = this.#offered.get(service);
    if (known) return known;
    const offered = new DecayingSum();
    this.#offered.set(service, offered);
    return offered;
  }

  #shareOf(service: string): RateShare {
    const known = this.#shares.get(service);
    if (known) return known;
    const share = new RateShare(this.#options.view.random);
    this.#shares.set(service, share);
    return share;
  }
}
