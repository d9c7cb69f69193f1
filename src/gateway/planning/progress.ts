/** Applies hosts' progress reports to the state of a planner. */
import type { Milliseconds } from "../../util/units.ts";
import { ErrorOrigin } from "./error_origins.ts";
import type { ExportLosses } from "./export_losses.ts";
import type { Forecasts } from "./forecasts.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import { AssignmentStage, type PlanProgress } from "./messages.ts";
import type { PlainAdvisor } from "./plain_advice.ts";
import type { PromptLocations } from "./prompt_locations.ts";
import type { ReplicaRates } from "./replica_rates.ts";
import type { RequestPacer } from "./request_pacer.ts";
import type { PlannerView } from "./view.ts";

/** The state that reports change. */
export type ProgressOptions = {
  readonly view: PlannerView;
  readonly ledger: Ledger;
  readonly losses: ExportLosses;
  readonly promptLocations: PromptLocations;
  readonly forecasts: Forecasts;
  readonly pacer: RequestPacer;
  readonly plainAdvisor: PlainAdvisor;
  /** Speeds of the replicas; a reload of the settings replaces them. */
  rates(): ReplicaRates;
  /** Called for a decode replica that had no memory. */
  noteFull(incarnation: string, now: Milliseconds): void;
};

/** Records the progress of assigned requests. */
export class Progress {
  readonly #state: ProgressOptions;

  constructor(options: ProgressOptions) {
    this.#state = options;
  }

  /** Handles a host's progress report. */
  report(report: PlanProgress, now: Milliseconds): void {
    const { id, stage, spentMs } = report;
    const { ledger, pacer, view } = this.#state;
    switch (stage) {
      case AssignmentStage.prefilled: {
        const entry = ledger.endPrefill(id, spentMs, now);
        if (entry) this.#notePrefilled(entry, report, now);
        return;
      }
      case AssignmentStage.prefillLimited: {
        const replica = ledger.endPrefill(id, undefined, now)?.prefilledBy;
        if (replica !== undefined) pacer.noteFull(replica, report, now);
        return;
      }
      case AssignmentStage.prefillFailed: {
        const entry = ledger.endPrefill(id, undefined, now);
        if (entry?.prefilledBy === undefined) return;
        view.noteFailure(entry.prefilledBy, now);
        this.#state.rates().notePrefillFailed(entry, now);
        return;
      }
      case AssignmentStage.started:
      case AssignmentStage.running: {
        ledger.noteRunning(id, report.runMs ?? 0, now);
        const entry = ledger.get(id);
        if (entry) this.#state.rates().noteProgress(entry, report, now);
        return;
      }
      default: {
        const entry = ledger.remove(id);
        if (entry) this.#noteEnd(entry, report, now);
      }
    }
  }

  #notePrefilled(
    entry: LedgerEntry,
    { spentMs }: PlanProgress,
    now: Milliseconds,
  ): void {
    const { key, decode, prefilledBy } = entry;
    if (prefilledBy === undefined) return;
    const { promptLocations, view, rates } = this.#state;
    promptLocations.note(key, { decode, prefill: prefilledBy }, now);
    view.noteSuccess(prefilledBy);
    if (spentMs !== undefined) rates().notePrefill(entry, spentMs, now);
  }

  #noteEnd(entry: LedgerEntry, report: PlanProgress, now: Milliseconds): void {
    const { losses, promptLocations, forecasts, view, rates } = this.#state;
    const { decode, prefilledBy, service } = entry;
    const { stage, retryAfterMs } = report;
    const origin = this.#state.plainAdvisor.noteEnd(entry, report, now);
    if (origin === ErrorOrigin.route) {
      // Says nothing about the replica.
      const ended = { ...report, stage: AssignmentStage.ended };
      return rates().noteEnd(entry, ended, now);
    }
    rates().noteEnd(entry, report, now);
    switch (stage) {
      case AssignmentStage.exportLost:
        if (prefilledBy === undefined) return;
        losses.noteLost(prefilledBy, now);
        promptLocations.forget(entry.key);
        return;
      case AssignmentStage.answered:
        if (service !== undefined) forecasts.noteEnd(service, entry, now);
        view.noteSuccess(decode);
        if (prefilledBy !== undefined) losses.noteUsed(prefilledBy);
        return;
      case AssignmentStage.refused:
        if (retryAfterMs === undefined) this.#state.noteFull(decode, now);
        else this.#state.pacer.noteFull(decode, report, now);
        return;
      case AssignmentStage.failed:
        view.noteFailure(decode, now);
    }
  }
}
