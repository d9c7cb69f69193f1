/**
 * Counts the calls of a plain service for its planner, and tells hosts when a
 * retry of a call helps.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { PlainAdvice } from "./assignment.ts";
import {
  type ErrorOrigin,
  ErrorOrigins,
  type RoutedCall,
} from "./error_origins.ts";
import type { LedgerEntry } from "./ledger.ts";
import {
  AssignmentStage,
  type PlanProgress,
  type PlanRequest,
} from "./messages.ts";
import type { PlannerView } from "./view.ts";

/** What {@link PlainAdvisor} reads of the planner. */
export type PlainAdvisorView = Pick<
  PlannerView,
  "scheduling" | "events" | "metrics"
>;

/** Advice of one planner. */
export class PlainAdvisor {
  readonly #view: PlainAdvisorView;
  readonly #errors = new ErrorOrigins();

  constructor(view: PlainAdvisorView) {
    this.#view = view;
  }

  /** What a host is told of a call that is assigned to a replica. */
  adviceOn(
    { service, route, repeatable }: PlanRequest,
    incarnation: string,
    now: Milliseconds,
  ): PlainAdvice {
    if (route === undefined || !repeatable || !this.#countsErrors) return {};
    const call = { service, route, incarnation };
    const isUseful = this.#errors.isRetryUseful(call, now);
    return isUseful ? {} : { finalErrors: true };
  }

  /** Counts how a call ended; returns the origin of an error response. */
  noteEnd(
    entry: LedgerEntry,
    { stage, isError }: PlanProgress,
    now: Milliseconds,
  ): ErrorOrigin | undefined {
    const { service, route, decode: incarnation } = entry;
    const isAnswered = stage === AssignmentStage.answered;
    if (!this.#countsErrors || !isAnswered && !isError) return undefined;
    if (service === undefined || route === undefined) return undefined;
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

  get #countsErrors(): boolean {
    const { replicaRates, errorOrigins } = this.#view.scheduling;
    return replicaRates && errorOrigins;
  }
}
