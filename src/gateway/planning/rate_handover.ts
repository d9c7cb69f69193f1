/**
 * Passes what a planner has measured of its replicas on to the next planner of
 * a service, which would place requests as if all replicas were equal until it
 * has measured them itself.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type { Ledger } from "./ledger.ts";
import type { PrefillRates } from "./prefill_rates.ts";
import type { RateState } from "./rate_state.ts";
import {
  formatRateSummary,
  MAX_SUMMARY_AGE_MS,
  parseRateSummary,
  type RateSummary,
  type ReplicaSummary,
} from "./rate_summary.ts";
import type { RunLengths } from "./run_lengths.ts";
import {
  type SlownessEstimate,
  type SpeedSummary,
  Work,
} from "./speed_model.ts";
import type { PlannerView } from "./view.ts";

/** Most ejections end sooner; older ones are not adopted. */
const MAX_EJECTION_AGE_MS = 10_000;

/** A summary that another host sent. */
export type ReceivedSummary = {
  readonly service: string;
  readonly from: string;
  /** As it was received; not checked yet. */
  readonly summary: unknown;
  /** Time since the planner made it. */
  readonly ageMs: Milliseconds;
};

/** The parts of a planner that a handover concerns. */
export type RateHandoverOptions = {
  readonly view: Pick<
    PlannerView,
    "replicasOf" | "scheduling" | "events" | "metrics"
  >;
  readonly state: RateState;
  readonly ledger: Pick<Ledger, "prefillTimesOf" | "adoptPrefillTimes">;
  readonly prefillRates: PrefillRates;
  readonly lengths: RunLengths;
};

/** Summarizes the estimates of a planner and adopts those of another one. */
export class RateHandover {
  readonly #options: RateHandoverOptions;

  constructor(options: RateHandoverOptions) {
    this.#options = options;
  }

  /** Whether estimates are passed on. */
  get isEnabled(): boolean {
    const { replicaRates, rateHandover } = this.#options.view.scheduling;
    return replicaRates && rateHandover;
  }

  /** A summary for a message; undefined if too little is known. */
  summaryOf(service: string, now: Milliseconds): object | undefined {
    if (!this.isEnabled) return undefined;
    const { view, state, lengths } = this.#options;
    const rates = state.find(service);
    if (!rates) return undefined;
    const speeds = rates.speeds.summarize(now);
    const firstEvents = rates.firstEvents.summarize(now);
    const replicas = view.replicasOf(service).map(({ incarnation }) =>
      this.#replicaSummary(incarnation, { speeds, firstEvents }, now)
    ).filter((replica) => Object.keys(replica).length > 1);
    if (replicas.length === 0) return undefined;
    return formatRateSummary({
      unitMs: new Map([...speeds.unitMs, ...firstEvents.unitMs]),
      eventsPerToken: rates.eventsPerToken,
      lengths: lengths.summarize(service),
      replicas,
    });
  }

  /** Adopts what a received summary tells and this planner doesn't know. */
  receive(
    { service, from, summary, ageMs }: ReceivedSummary,
    now: Milliseconds,
  ): void {
    if (!this.isEnabled) return;
    const { events, metrics } = this.#options.view;
    metrics.count("rate_handovers_received");
    const parsed = parseRateSummary(summary);
    if (!parsed || !(ageMs >= 0)) {
      return metrics.count("rate_handovers_rejected");
    }
    if (ageMs > MAX_SUMMARY_AGE_MS) {
      return metrics.count("rate_handovers_expired");
    }
    const { replicas, ejected } = this.#adopt(service, parsed, { ageMs, now });
    if (replicas === 0 && ejected === 0) return;
    metrics.count("rate_handovers_adopted");
    events.note("ratesHandedOver", {
      service,
      from,
      age_ms: Math.round(ageMs),
      replicas,
      ejected,
    });
  }

  #replicaSummary(
    incarnation: string,
    { speeds, firstEvents }: {
      readonly speeds: SpeedSummary;
      readonly firstEvents: SpeedSummary;
    },
    now: Milliseconds,
  ): ReplicaSummary {
    const { state, ledger, prefillRates } = this.#options;
    const speed = speeds.replicas.get(incarnation);
    const firstEvent = firstEvents.replicas.get(incarnation);
    const ejection = state.ejection.summaryOf(incarnation, now);
    const summary = {
      incarnation,
      ...(firstEvent && { firstEvent }),
      ...(ejection && { ejection }),
    };
    // Prefill times don't age: without recent samples they may be outdated.
    if (!speed) return summary;
    const prefill = ledger.prefillTimesOf(incarnation);
    const prefillRate = prefillRates.rateOf(incarnation, now);
    return {
      ...summary,
      speed,
      ...(prefill && { prefill }),
      ...(prefillRate !== undefined && { prefillRate }),
    };
  }

  #adopt(
    service: string,
    summary: RateSummary,
    { ageMs, now }: {
      readonly ageMs: Milliseconds;
      readonly now: Milliseconds;
    },
  ): { readonly replicas: number; readonly ejected: number } {
    const { view, state, ledger, prefillRates, lengths } = this.#options;
    const pool = view.replicasOf(service);
    if (pool.length === 0) return { replicas: 0, ejected: 0 };
    const entries = new Map(pool.map((entry) => [entry.incarnation, entry]));
    const listed = summary.replicas.filter(({ incarnation }) =>
      entries.has(incarnation)
    );
    const rates = state.of(service);
    const { speeds, firstEvents } = speedSummaries(summary.unitMs, listed);
    const adopted = new Set(rates.speeds.adopt(speeds, ageMs, now));
    rates.firstEvents.adopt(firstEvents, ageMs, now);
    if (summary.eventsPerToken !== undefined) {
      rates.adoptEventsPerToken(summary.eventsPerToken);
    }
    lengths.adopt(service, summary.lengths);
    for (const { incarnation, prefill, prefillRate } of listed) {
      if (!adopted.has(incarnation)) continue;
      if (prefill) ledger.adoptPrefillTimes(incarnation, prefill);
      if (prefillRate !== undefined) {
        prefillRates.adopt(incarnation, prefillRate, now);
      }
    }
    const ejected = listed.filter((replica) => {
      const entry = entries.get(replica.incarnation);
      return entry && this.#adoptEjection(entry, pool, replica, { ageMs, now });
    });
    // The next decision has to use the adopted estimates.
    if (adopted.size > 0) rates.comparedAt = -Infinity;
    return { replicas: adopted.size, ejected: ejected.length };
  }

  #adoptEjection(
    entry: ReplicaEntry,
    pool: readonly ReplicaEntry[],
    { ejection }: ReplicaSummary,
    { ageMs, now }: {
      readonly ageMs: Milliseconds;
      readonly now: Milliseconds;
    },
  ): boolean {
    const { state } = this.#options;
    if (!ejection || ageMs > MAX_EJECTION_AGE_MS) return false;
    if (state.outcomes.hasServed(entry.incarnation, now)) return false;
    const trialInMs = Math.max(0, ejection.trialInMs - ageMs);
    const summary = { ...ejection, trialInMs };
    return state.ejection.adopt(entry, pool, summary, now);
  }
}

/** Separates what two speed models know. */
function speedSummaries(
  unitMs: ReadonlyMap<Work, Milliseconds>,
  replicas: readonly ReplicaSummary[],
): { readonly speeds: SpeedSummary; readonly firstEvents: SpeedSummary } {
  const estimates = (
    estimateOf: (replica: ReplicaSummary) => SlownessEstimate | undefined,
  ) =>
    new Map(replicas.flatMap((replica) => {
      const estimate = estimateOf(replica);
      return estimate ? [[replica.incarnation, estimate] as const] : [];
    }));
  const units = (isFirstEvent: boolean) =>
    new Map(
      [...unitMs].filter(([work]) =>
        (work === Work.firstEvent) === isFirstEvent
      ),
    );
  return {
    speeds: {
      unitMs: units(false),
      replicas: estimates(({ speed }) => speed),
    },
    firstEvents: {
      unitMs: units(true),
      replicas: estimates(({ firstEvent }) => firstEvent),
    },
  };
}
