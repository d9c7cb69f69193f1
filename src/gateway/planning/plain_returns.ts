/**
 * Refuses calls of an overloaded plain service at once, and books the times at
 * which their callers retry.
 */
import type { Milliseconds } from "../../util/units.ts";
import { evictOldest } from "../../util/evict_oldest.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Bookings } from "./bookings.ts";
import { DecayingSum } from "./decaying_sum.ts";
import type { Ledger } from "./ledger.ts";
import {
  AssignmentStage,
  type PlanProgress,
  type PlanRequest,
} from "./messages.ts";
import { admitsCall, RESPONSE_MS } from "./plain_admission.ts";
import { PlainForecast } from "./plain_forecast.ts";
import { latestReturnAt } from "./return_window.ts";
import type { QueuedRequest } from "./request_queue.ts";
import type { RequestPacer } from "./request_pacer.ts";

/** Time constant of the measured rate of calls. */
const OFFERED_WINDOW_MS = 500;
/** Maximum number of calls in progress whose duration is measured. */
const MAX_MEASURED_CALLS = 5000;

/** Stages that a call reports before its end. */
const CALL_IN_PROGRESS: ReadonlySet<AssignmentStage> = new Set([
  AssignmentStage.started,
  AssignmentStage.running,
]);

/** Options of {@link PlainReturns}. */
export type PlainReturnsOptions = {
  readonly ledger: Pick<Ledger, "get" | "reservedTokensAt">;
  readonly pacer: Pick<RequestPacer, "minWaitMs">;
  readonly bookings: Bookings;
};

/** A call that is measured until it ends. */
type MeasuredCall = {
  readonly replica: ReplicaEntry;
  /** Calls that its replica had when it was assigned. */
  readonly callsAhead: number;
};

/** Admits and books the calls of one planner. */
export class PlainReturns {
  readonly #options: PlainReturnsOptions;
  readonly #forecast: PlainForecast;
  /** Calls that arrived recently, by service. */
  readonly #offered = new Map<string, DecayingSum>();
  readonly #calls = new Map<string, MeasuredCall>();

  constructor(options: PlainReturnsOptions) {
    this.#options = options;
    this.#forecast = new PlainForecast((incarnation) =>
      options.ledger.reservedTokensAt(incarnation)
    );
  }

  /** Counts a call that arrived. */
  noteRequest({ service }: PlanRequest, now: Milliseconds): void {
    if (!this.#options.bookings.isEnabled) return;
    this.#offeredTo(service).add(1, now, OFFERED_WINDOW_MS);
  }

  /** Records that a call is assigned to a replica. */
  noteGrant({ id }: PlanRequest, replica: ReplicaEntry): void {
    const { bookings, ledger } = this.#options;
    if (!bookings.isEnabled) return;
    const callsAhead = ledger.reservedTokensAt(replica.incarnation);
    this.#calls.set(id, { replica, callsAhead });
    evictOldest(this.#calls, MAX_MEASURED_CALLS);
  }

  /** Records the duration of a call, before the ledger drops its assignment. */
  noteProgress({ id, stage }: PlanProgress, now: Milliseconds): void {
    if (CALL_IN_PROGRESS.has(stage)) return;
    const call = this.#calls.get(id);
    if (!call) return;
    this.#calls.delete(id);
    const entry = this.#options.ledger.get(id);
    if (!entry || stage !== AssignmentStage.answered) return;
    const { replica, callsAhead } = call;
    const lifetimeMs = now - entry.grantedAt;
    this.#forecast.noteEnd(replica, { lifetimeMs, callsAhead });
  }

  /** Whether the call is worth running at the replica chosen for it. */
  admits(
    queued: QueuedRequest,
    { replica, replicas }: {
      readonly replica: ReplicaEntry;
      readonly replicas: readonly ReplicaEntry[];
    },
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
  bookedMs(
    queued: QueuedRequest,
    { replicas, perSecond = Infinity }: {
      readonly replicas: readonly ReplicaEntry[];
      /** Calls that the replicas accept at most. */
      readonly perSecond: number | undefined;
    },
    now: Milliseconds,
  ): Milliseconds | undefined {
    const { bookings, pacer } = this.#options;
    if (!bookings.isEnabled || queued.mayHaveRun) return undefined;
    const { request, priority, deadlineAt } = queued;
    const { key, service } = request;
    const waitsMs = replicas.map((replica) => this.#forecast.waitMs(replica));
    const callsMs = replicas.map(({ incarnation }) =>
      this.#forecast.callMs(incarnation)
    );
    const minWaitMs = pacer.minWaitMs(replicas, now);
    const latestEndAt = deadlineAt - RESPONSE_MS;
    const beginsAt = bookings.book({
      key,
      service,
      priority,
      cost: 1,
      costPerMs: Math.min(
        this.#forecast.callsPerMs(replicas),
        perSecond / 1000,
      ),
      earliestAt: now + Math.max(Math.min(...waitsMs), minWaitMs),
      latestAt: Math.min(
        latestReturnAt(queued, now),
        latestEndAt - Math.max(...callsMs),
      ),
      deadlineAt,
    }, now);
    return beginsAt === undefined ? undefined : beginsAt - now;
  }

  #offeredTo(service: string): DecayingSum {
    const known = this.#offered.get(service);
    if (known) return known;
    const offered = new DecayingSum();
    this.#offered.set(service, offered);
    return offered;
  }
}
