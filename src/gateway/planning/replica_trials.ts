/**
 * Ejects replicas by how their requests end, and ends the trials of those that
 * are ejected.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import { type EjectionCause, EjectionReason } from "./ejection.ts";
import { overtakenCause } from "./ejection_rules.ts";
import type { LedgerEntry } from "./ledger.ts";
import type { RateState } from "./rate_state.ts";
import type { ServiceRates } from "./service_rates.ts";
import type { SpeedSample } from "./speed_model.ts";
import type { PlannerView } from "./view.ts";

/** Outcomes of requests, and of trials, of one planner. */
export class ReplicaTrials {
  readonly #view: Pick<PlannerView, "replicasOf">;
  readonly #state: RateState;

  constructor(view: Pick<PlannerView, "replicasOf">, state: RateState) {
    this.#view = view;
    this.#state = state;
  }

  /** Ejects a replica for a cause that is found, if any, among its peers. */
  #eject(
    incarnation: string,
    causeOf: (pool: readonly ReplicaEntry[]) => EjectionCause | undefined,
    now: Milliseconds,
  ): void {
    const replica = this.#state.replicas.get(incarnation);
    if (!replica) return;
    const pool = this.#view.replicasOf(replica.service);
    const cause = causeOf(pool);
    if (!cause) return;
    this.#state.ejection.eject(replica, pool, cause, now);
    this.#ratesOf(incarnation)?.suspects.add(incarnation);
  }

  /** Records how a request ended at a replica. */
  noteOutcome(
    { host, hall }: LedgerEntry,
    incarnation: string,
    isGood: boolean,
    now: Milliseconds,
  ): void {
    this.#state.outcomes.note(incarnation, { host, hall, isGood, at: now });
    if (!isGood) this.#ratesOf(incarnation)?.suspects.add(incarnation);
    if (isGood || this.#state.ejection.reasonOf(incarnation) !== undefined) {
      return;
    }
    this.#eject(incarnation, (pool) => {
      const ids = pool.map((peer) => peer.incarnation);
      const figures = this.#state.outcomes.failing(incarnation, ids, now);
      return figures && { reason: EjectionReason.failing, figures };
    }, now);
  }

  /** Of a replica that was ejected for another reason the time is no matter. */
  isGoodWork(
    incarnation: string,
    sample: SpeedSample | undefined,
    now: Milliseconds,
  ): boolean {
    const reason = this.#state.ejection.reasonOf(incarnation);
    return reason !== EjectionReason.slow ||
      this.#ratesOf(incarnation)?.isGood(incarnation, sample, now) !== false;
  }

  /** Ends a trial, and with enough good ones the ejection. */
  end(
    incarnation: string,
    id: string,
    isGood: boolean,
    now: Milliseconds,
  ): void {
    if (!this.#state.ejection.endTrial(incarnation, id, isGood, now)) return;
    this.#state.outcomes.forget(incarnation);
    this.#ratesOf(incarnation)?.speeds.forgetRecent(incarnation);
  }

  /** Records a call that another attempt overtook. */
  noteOvertaken(incarnation: string, now: Milliseconds): void {
    const inRow = this.#state.outcomes.noteOvertaken(incarnation, now);
    this.#ratesOf(incarnation)?.suspects.add(incarnation);
    this.#eject(incarnation, () => overtakenCause(inRow), now);
  }

  #ratesOf(incarnation: string): ServiceRates | undefined {
    const replica = this.#state.replicas.get(incarnation);
    return replica && this.#state.find(replica.service);
  }
}
