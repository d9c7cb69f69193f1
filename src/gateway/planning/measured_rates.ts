/**
 * Measures the speeds of replicas by hosts' progress reports, and ejects those
 * that do far worse than their pool. The load that it answers: uneven replicas
 * that are fast, slow, failing or silent for seconds, in pools of few replicas.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { type Ejection, EjectionReason, Standing } from "./ejection.ts";
import { silenceCause, slownessCause } from "./ejection_rules.ts";
import type { KnownReplicas } from "./known_replicas.ts";
import type { Ledger, LedgerEntry } from "./ledger.ts";
import { AssignmentStage, type PlanProgress } from "./messages.ts";
import {
  firstEventTimeoutMs,
  grantTimeoutMs,
  REPORT_TIMEOUT_MS,
} from "./overdue_times.ts";
import { RateState } from "./rate_state.ts";
import type { RecentOutcomes } from "./recent_outcomes.ts";
import type { RatedRequest, ReplicaRates } from "./replica_rates.ts";
import { ReplicaTrials } from "./replica_trials.ts";
import type { ServiceRates } from "./service_rates.ts";
import type { SpeedSample } from "./speed_model.ts";
import type { PlannerView } from "./view.ts";

/** Interval at which the replicas of a service are compared. */
const COMPARE_INTERVAL_MS = 200;
/** An aborted call is expected to have taken as long again as it ran. */
const OVERTAKEN_FACTOR = 2;
/** Services without requests for this long are left out of the metrics. */
const MAX_REPORT_AGE_MS = 10_000;

/** What the rates read of the planner. */
export type MeasuredRatesOptions = {
  readonly view: Pick<PlannerView, "replicasOf" | "events" | "metrics">;
  readonly ledger: Pick<Ledger, "get" | "reservedTokensAt">;
};

/** Rates measured by one planner. */
export class MeasuredRates implements ReplicaRates {
  readonly #view: MeasuredRatesOptions["view"];
  readonly #ledger: MeasuredRatesOptions["ledger"];
  readonly #replicas: KnownReplicas;
  readonly #outcomes: RecentOutcomes;
  readonly #ejection: Ejection;
  readonly #trials: ReplicaTrials;
  /** What the reports have shown so far. */
  readonly state: RateState;
  /** The latest time of which a caller told. */
  #now: Milliseconds = 0;

  constructor({ view, ledger }: MeasuredRatesOptions) {
    this.#view = view;
    this.#ledger = ledger;
    this.state = new RateState(view);
    this.#replicas = this.state.replicas;
    this.#outcomes = this.state.outcomes;
    this.#ejection = this.state.ejection;
    this.#trials = new ReplicaTrials(view, this.state);
  }

  /** The replicas of the services that were compared lately. */
  replicasAt(now: Milliseconds): readonly ReplicaEntry[] {
    return this.#replicas.entries().filter(({ service }) =>
      now - (this.state.find(service)?.comparedAt ?? 0) < MAX_REPORT_AGE_MS
    );
  }

  speedOf(incarnation: string): number {
    const rates = this.#ratesOf(incarnation);
    if (!rates) return 1;
    return Math.exp(-rates.speeds.steadySlowness(incarnation, this.#now));
  }

  runMs(incarnation: string, outputTokens: number): Milliseconds {
    return outputTokens * this.#replicas.timesOf(incarnation).tokenMs;
  }

  firstEventMs(incarnation: string): Milliseconds {
    return this.#replicas.timesOf(incarnation).firstEventMs;
  }

  callMs(incarnation: string): Milliseconds {
    return this.#replicas.timesOf(incarnation).callMs;
  }

  isEjected(incarnation: string, now: Milliseconds): boolean {
    this.#advance(now);
    return this.#ejection.reasonOf(incarnation) !== undefined;
  }

  suspects(service: string, now: Milliseconds): ReadonlySet<string> {
    return this.#compare(service, now).suspects;
  }

  standing(
    { incarnation, service }: ReplicaEntry,
    request: RatedRequest,
    now: Milliseconds,
  ): Standing {
    this.#compare(service, now);
    const ejected = this.#ejection.standing(incarnation, request, now);
    const isStalled = this.#outcomes.isStalled(incarnation, now);
    const standing = ejected === Standing.open && isStalled
      ? Standing.spare
      : ejected;
    const mayServe = standing === Standing.open || standing === Standing.spare;
    return mayServe && this.#outcomes.isAvoidedBy(request, incarnation, now)
      ? Standing.closed
      : standing;
  }

  hasBroken(incarnation: string, now: Milliseconds): boolean {
    return this.#outcomes.hasBroken(incarnation, now);
  }

  noteGrant(entry: LedgerEntry, now: Milliseconds): void {
    this.#advance(now);
    const { id, decode, prefill } = entry;
    this.#ejection.beginTrial(decode, id, now);
    if (prefill !== undefined) this.#ejection.beginTrial(prefill, id, now);
    const { runs } = this.#serviceOf(entry);
    runs.begin(entry, now + this.#grantTimeoutMs(entry));
  }

  notePrefill(
    entry: LedgerEntry,
    spentMs: Milliseconds,
    now: Milliseconds,
  ): void {
    const { id, decode, prefilledBy, promptTokens, tokensAhead } = entry;
    this.#advance(now);
    const rates = this.#serviceOf(entry);
    const timeoutMs = firstEventTimeoutMs(this.firstEventMs(decode));
    rates.runs.endPrefill(entry, now + timeoutMs);
    if (prefilledBy === undefined) return;
    this.#trials.noteOutcome(entry, prefilledBy, true, now);
    const sample = rates.prefillSample(spentMs, promptTokens + tokensAhead);
    rates.speeds.add(prefilledBy, sample, now);
    const isGood = this.#trials.isGoodWork(prefilledBy, sample, now);
    this.#trials.end(prefilledBy, id, isGood, now);
  }

  notePrefillFailed(entry: LedgerEntry, now: Milliseconds): void {
    const { id, decode, prefilledBy } = entry;
    this.#advance(now);
    const { runs } = this.#serviceOf(entry);
    runs.endPrefill(entry, now + this.#grantTimeoutMs(entry));
    this.#ejection.cancelTrial(decode, id, now);
    if (prefilledBy === undefined) return;
    this.#trials.noteOutcome(entry, prefilledBy, false, now);
    this.#trials.end(prefilledBy, id, false, now);
  }

  noteProgress(
    entry: LedgerEntry,
    report: PlanProgress,
    now: Milliseconds,
  ): void {
    this.#advance(now);
    const { id, decode } = entry;
    if (report.stage === AssignmentStage.running && !report.events) {
      this.#ejection.cancelTrial(decode, id, now);
      return this.#serviceOf(entry).runs.end(id);
    }
    this.#noteFirstEvent(entry, report, now);
    const sample = this.#addRunPart(entry, report, now);
    const isSilent = this.#ejection.reasonOf(decode) === EjectionReason.silent;
    if (!sample && !isSilent) return;
    const isGood = this.#trials.isGoodWork(decode, sample, now);
    this.#trials.end(decode, id, isGood, now);
  }

  noteEnd(entry: LedgerEntry, report: PlanProgress, now: Milliseconds): void {
    this.#advance(now);
    const { id, decode, prefilledBy } = entry;
    this.#ejection.cancelTrial(prefilledBy, id, now);
    const isAnswered = report.stage === AssignmentStage.answered;
    const isFailed = report.stage === AssignmentStage.failed;
    if (isFailed && !report.isError) this.#outcomes.noteBroken(decode, now);
    const sample = isAnswered
      ? this.#addRunPart(entry, report, now) ??
        this.#addCall(entry, report, now)
      : undefined;
    this.#serviceOf(entry).runs.end(id);
    if (isAnswered || isFailed) {
      this.#trials.noteOutcome(entry, decode, isAnswered, now);
      const isGood = isAnswered && this.#trials.isGoodWork(decode, sample, now);
      this.#trials.end(decode, id, isGood, now);
    } else if (report.runMs !== undefined) {
      this.#noteOvertaken(entry, report, now);
    } else this.#ejection.cancelTrial(decode, id, now);
  }

  /**
   * Records a plain call that another attempt overtook. Its replica may not
   * respond at all: then it is overtaken several times in a row.
   */
  #noteOvertaken(
    entry: LedgerEntry,
    report: PlanProgress,
    now: Milliseconds,
  ): void {
    const { id, decode } = entry;
    const runMs = OVERTAKEN_FACTOR * (report.runMs ?? 0);
    this.#addCall(entry, { ...report, runMs }, now);
    this.#trials.end(decode, id, false, now);
    this.#trials.noteOvertaken(decode, now);
  }

  #noteFirstEvent(
    { decode, prefilledBy, service }: LedgerEntry,
    { firstEventMs }: PlanProgress,
    now: Milliseconds,
  ): void {
    // A local prefill is a part of the time to the first event.
    if (firstEventMs === undefined || prefilledBy === undefined) return;
    this.#serviceOf({ service }).noteFirstEvent(decode, firstEventMs, now);
  }

  #addRunPart(
    entry: LedgerEntry,
    report: PlanProgress,
    now: Milliseconds,
  ): SpeedSample | undefined {
    const overdueAt = now + REPORT_TIMEOUT_MS;
    const rates = this.#serviceOf(entry);
    const part = rates.runs.note(entry, report, overdueAt);
    if (!part) return undefined;
    if (report.stage === AssignmentStage.answered) {
      rates.noteEvents(report.events ?? 0, entry.outputTokens);
    }
    const sample = rates.decodeSample(part);
    rates.speeds.add(entry.decode, sample, now);
    return sample;
  }

  #addCall(
    entry: LedgerEntry,
    { runMs }: PlanProgress,
    now: Milliseconds,
  ): SpeedSample | undefined {
    const rates = this.#serviceOf(entry);
    const isPlain = entry.promptTokens === 0 && entry.outputTokens === 0;
    if (!isPlain || runMs === undefined) return undefined;
    const slots = this.#replicas.get(entry.decode)?.slots ?? 1;
    const running = this.#ledger.reservedTokensAt(entry.decode) + 1;
    const sample = rates.callSample(runMs, running / Math.max(1, slots));
    rates.speeds.add(entry.decode, sample, now);
    return sample;
  }

  /** Compares the replicas of a service, and ejects those that do worse. */
  #compare(service: string, now: Milliseconds): ServiceRates {
    this.#advance(now);
    const rates = this.#serviceOf({ service });
    if (now - rates.comparedAt < COMPARE_INTERVAL_MS) return rates;
    rates.comparedAt = now;
    const pool = this.#view.replicasOf(service);
    this.#replicas.note(pool, rates, now);
    const isOpen = (id: string) => this.#ledger.get(id) !== undefined;
    const runs = rates.runs.openRuns(isOpen, now);
    const ofService = [...runs.values()];
    for (const replica of pool) {
      const { incarnation } = replica;
      const open = runs.get(incarnation);
      const cause = slownessCause(rates.speeds, incarnation, now) ??
        (open && silenceCause(open, ofService));
      if (cause) this.#ejection.eject(replica, pool, cause, now);
      if (this.#isSuspect(incarnation, now)) rates.suspects.add(incarnation);
      else rates.suspects.delete(incarnation);
    }
    return rates;
  }

  #isSuspect(incarnation: string, now: Milliseconds): boolean {
    return this.#ejection.reasonOf(incarnation) !== undefined ||
      this.#outcomes.hasFailed(incarnation, now) ||
      this.#outcomes.isStalled(incarnation, now);
  }

  /** Time from a grant to the first report. */
  #grantTimeoutMs({ decode, promptTokens, tokensAhead }: LedgerEntry) {
    const prefillMs = this.#ratesOf(decode)?.prefillMs(
      decode,
      promptTokens + tokensAhead,
      this.#now,
    ) ?? 0;
    const callMs = promptTokens === 0 ? this.callMs(decode) : 0;
    const firstEventMs = this.firstEventMs(decode);
    return grantTimeoutMs({ firstEventMs, workMs: prefillMs + callMs });
  }

  #ratesOf(incarnation: string): ServiceRates | undefined {
    const replica = this.#replicas.get(incarnation);
    return replica && this.state.find(replica.service);
  }

  #serviceOf(
    { service = "" }: { readonly service: string | undefined },
  ): ServiceRates {
    return this.state.of(service);
  }

  #advance(now: Milliseconds): void {
    this.#now = Math.max(this.#now, now);
  }
}
