/**
 * Counts the calls of a plain service for its planner, and tells hosts when a
 * retry of a call helps.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { PlainAdvice } from "./assignment.ts";
import { CallTimes } from "./call_times.ts";
import {
  type ErrorOrigin,
  ErrorOrigins,
  type RoutedCall,
} from "./error_origins.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import {
  AssignmentStage,
  type PlanProgress,
  type PlanRequest,
} from "./messages.ts";
import { slotShareInUse } from "./slot_share.ts";
import type { PlannerView } from "./view.ts";

/** What {@link PlainAdvisor} reads of the planner. */
export type PlainAdvisorView = Pick<
  PlannerView,
  "scheduling" | "events" | "metrics" | "replicasOf" | "limitOf"
>;

/**
 * Share of a service's slots in use from which it gets no second attempts: its
 * calls are late because they queue, and more of them queue longer.
 */
const BUSY_SHARE = 0.5;

/** Advice of one planner. */
export class PlainAdvisor {
  readonly #view: PlainAdvisorView;
  readonly #ledger: Pick<Ledger, "reservedTokensAt">;
  readonly #errors = new ErrorOrigins();
  readonly #times = new CallTimes();

  constructor(
    view: PlainAdvisorView,
    ledger: Pick<Ledger, "reservedTokensAt">,
  ) {
    this.#view = view;
    this.#ledger = ledger;
  }

  /** The advice for a call that is assigned to a replica. */
  adviceOn(
    { service, route, repeatable, begun }: PlanRequest,
    incarnation: string,
    now: Milliseconds,
  ): PlainAdvice {
    if (route === undefined || !repeatable) return {};
    const call = { service, route, incarnation };
    const isFinal = this.#countsErrors &&
      !this.#errors.isRetryUseful(call, now);
    const secondAfterMs = this.#hasSecondAttempts && !begun
      ? this.#secondAfterMs(call, now)
      : undefined;
    return {
      ...(isFinal ? { finalErrors: true } : {}),
      ...(secondAfterMs === undefined ? {} : { secondAfterMs }),
    };
  }

  /** The replicas that a second attempt may be sent to now. */
  replicasForSecond(
    { service }: PlanRequest,
    replicas: readonly ReplicaEntry[],
  ): readonly ReplicaEntry[] {
    if (!this.#hasSecondAttempts || this.#isBusy(service)) return [];
    return replicas.filter(({ incarnation, slots }) =>
      this.#ledger.reservedTokensAt(incarnation) < slots
    );
  }

  #secondAfterMs(
    { service, route }: RoutedCall,
    now: Milliseconds,
  ): Milliseconds | undefined {
    const lateMs = this.#times.lateMs({ service, route }, now);
    return lateMs === undefined || this.#isBusy(service) ? undefined : lateMs;
  }

  /** Whether the slots of a service, or its limits, may be needed by others. */
  #isBusy(service: string): boolean {
    const replicas = this.#view.replicasOf(service);
    const limited = replicas.some(({ incarnation }) =>
      this.#view.limitOf(incarnation) !== undefined
    );
    return limited || slotShareInUse(this.#ledger, replicas) >= BUSY_SHARE;
  }

  /** Counts how a call ended; returns the origin of an error response. */
  noteEnd(
    entry: LedgerEntry,
    { stage, isError, runMs }: PlanProgress,
    now: Milliseconds,
  ): ErrorOrigin | undefined {
    const { service, route, decode: incarnation } = entry;
    if (service === undefined || route === undefined) return undefined;
    if (runMs !== undefined && this.#hasSecondAttempts) {
      this.#times.note({ service, route }, runMs, now);
    }
    const isAnswered = stage === AssignmentStage.answered;
    if (!this.#countsErrors || !isAnswered && !isError) return undefined;
    const call = { service, route, incarnation };
    this.#errors.note(call, !isAnswered, now);
    this.#noteRetry(call, entry, !isAnswered, now);
    if (isAnswered) return undefined;
    const origin = this.#errors.originOf(call, now);
    this.#view.metrics.count(`error_responses_${origin}`);
    return origin;
  }

  /** Retries of calls that a failing replica failed say nothing of the route. */
  #noteRetry(
    call: RoutedCall,
    { retriedFrom }: LedgerEntry,
    isError: boolean,
    now: Milliseconds,
  ): void {
    if (!retriedFrom) return;
    const { service, route } = call;
    const isFailing = [...retriedFrom, call.incarnation].some((incarnation) =>
      this.#errors.isReplicaFailing({ service, incarnation }, now)
    );
    if (isFailing) return;
    const change = this.#errors.noteRetry(call, isError, now);
    if (!change) return;
    const { isStopped, retries, succeeded } = change;
    const name = isStopped ? "errorRetriesStopped" : "errorRetriesResumed";
    this.#view.events.note(name, { service, route, retries, succeeded });
  }

  get #hasSecondAttempts(): boolean {
    const { replicaRates, secondAttempts } = this.#view.scheduling;
    return replicaRates && secondAttempts;
  }

  get #countsErrors(): boolean {
    const { replicaRates, errorOrigins } = this.#view.scheduling;
    return replicaRates && errorOrigins;
  }
}
