/**
 * Measures what callers ask of the two stages of services, and what each
 * replica can do. Demand counts when a request arrives, whether it is assigned,
 * waits or is refused, so an overloaded service is measured in full.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";
import type {
  ReplicaCapacity,
  StageDemand,
  StageMeasurement,
} from "../stages/demand.ts";
import { DecayingSum } from "./decaying_sum.ts";
import type { LedgerEntry } from "./ledger.ts";
import {
  AssignmentStage,
  type PlanProgress,
  type PlanRequest,
} from "./messages.ts";
import { PrefillRates } from "./prefill_rates.ts";
import type { ReplicaRates } from "./replica_rates.ts";

/** Time constant of the measured demand. */
const DEMAND_DECAY_MS = 8000;
/** Time constant of the measured durations. */
const DURATION_DECAY_MS = 15_000;
/** Time that demand is measured before it is reported. */
const MIN_MEASURING_MS = 4000;
/** Number of runs that must have ended before a demand is reported. */
const MIN_RUNS = 3;

/** Sums over the recent requests of a service. */
type ServiceSums = {
  readonly since: Milliseconds;
  readonly requests: DecayingSum;
  readonly objectives: DecayingSum;
  readonly prefills: DecayingSum;
  readonly promptTokens: DecayingSum;
  /** Memory of a request times the tokens that it is expected to generate. */
  readonly memoryOutputs: DecayingSum;
  readonly memory: DecayingSum;
  /** Runs that ended: their count, durations and expected tokens. */
  readonly runs: DecayingSum;
  readonly runMs: DecayingSum;
  readonly outputTokens: DecayingSum;
};

/** Demand on the services of a planner, and capacities of their replicas. */
export class DemandMeter {
  readonly #services = new Map<string, ServiceSums>();
  /** Measured prefill rates of the replicas. */
  readonly prefillRates = new PrefillRates();
  /** Speeds of the replicas; a reload of the settings replaces them. */
  readonly #rates: () => ReplicaRates;

  constructor(rates: () => ReplicaRates) {
    this.#rates = rates;
  }

  /** Counts a request that was not refused before. */
  noteRequest(
    request: PlanRequest,
    isCached: boolean,
    now: Milliseconds,
  ): void {
    const sums = this.#sumsOf(request.service, now);
    const add = (sum: DecayingSum, amount: number) =>
      sum.add(amount, now, DEMAND_DECAY_MS);
    add(sums.requests, 1);
    add(sums.objectives, request.objectiveMs);
    add(sums.memory, request.tokens);
    add(sums.memoryOutputs, request.tokens * request.outputTokens);
    if (request.whole || isCached) return;
    add(sums.prefills, 1);
    add(sums.promptTokens, request.promptTokens);
  }

  /** Records the durations that a host reports about an assignment. */
  noteReport(
    entry: LedgerEntry,
    { stage, spentMs }: PlanProgress,
    now: Milliseconds,
  ): void {
    if (stage === AssignmentStage.answered) this.#noteEnd(entry, now);
    if (stage !== AssignmentStage.prefilled || spentMs === undefined) return;
    const { prefill: incarnation, promptTokens: tokens } = entry;
    // Queueing behind other prefills would distort the rate.
    if (incarnation === undefined || entry.tokensAhead > 0) return;
    this.prefillRates.note({ incarnation, tokens, spentMs }, now);
  }

  #noteEnd(entry: LedgerEntry, now: Milliseconds): void {
    const sums = entry.service === undefined
      ? undefined
      : this.#services.get(entry.service);
    if (!sums) return;
    const speed = this.#rates().speedOf(entry.decode);
    const add = (sum: DecayingSum, amount: number) =>
      sum.add(amount, now, DURATION_DECAY_MS);
    add(sums.runs, 1);
    add(sums.runMs, (now - entry.grantedAt) * speed);
    add(sums.outputTokens, entry.outputTokens);
  }

  /** Demand and capacities; undefined until enough is measured. */
  measure(
    service: {
      readonly name: string;
      readonly replicas: readonly ReplicaEntry[];
      readonly memory: number;
    },
    now: Milliseconds,
  ): StageMeasurement | undefined {
    const sums = this.#services.get(service.name);
    const demand = sums && demandOf(sums, now);
    if (!demand) return undefined;
    const capacities = this.#capacitiesOf(service.replicas, now);
    return capacities && { demand, memory: service.memory, capacities };
  }

  /** Undefined until a replica's prefills were measured. */
  #capacitiesOf(
    replicas: readonly ReplicaEntry[],
    now: Milliseconds,
  ): ReplicaCapacity[] | undefined {
    const measured = new Map<string, number>();
    for (const { incarnation } of replicas) {
      const rate = this.prefillRates.rateOf(incarnation, now);
      if (rate !== undefined) measured.set(incarnation, rate);
    }
    if (measured.size === 0) return undefined;
    const speeds = this.#speedsOf(replicas, measured);
    const perSpeed = median(
      [...measured].map(([key, rate]) => rate / (speeds.get(key) ?? 1)),
    );
    return replicas.map(({ incarnation }) => {
      const speed = speeds.get(incarnation) ?? 1;
      const promptTokensPerSecond = measured.get(incarnation) ??
        perSpeed * speed;
      return { incarnation, speed, promptTokensPerSecond };
    });
  }

  /** Speeds by the rates; without any, by the measured prefills. */
  #speedsOf(
    replicas: readonly ReplicaEntry[],
    measured: ReadonlyMap<string, number>,
  ): Map<string, number> {
    const speeds = new Map(
      replicas.map(({ incarnation }) => [
        incarnation,
        this.#rates().speedOf(incarnation),
      ]),
    );
    if ([...speeds.values()].some((speed) => speed !== 1)) return speeds;
    const typical = median([...measured.values()]);
    for (const [incarnation, rate] of measured) {
      speeds.set(incarnation, rate / typical);
    }
    return speeds;
  }

  #sumsOf(service: string, now: Milliseconds): ServiceSums {
    const known = this.#services.get(service);
    if (known) return known;
    const sums = {
      since: now,
      requests: new DecayingSum(),
      objectives: new DecayingSum(),
      prefills: new DecayingSum(),
      promptTokens: new DecayingSum(),
      memoryOutputs: new DecayingSum(),
      memory: new DecayingSum(),
      runs: new DecayingSum(),
      runMs: new DecayingSum(),
      outputTokens: new DecayingSum(),
    };
    this.#services.set(service, sums);
    return sums;
  }
}

function demandOf(
  sums: ServiceSums,
  now: Milliseconds,
): StageDemand | undefined {
  const measuredMs = now - sums.since;
  const runs = sums.runs.at(now, DURATION_DECAY_MS);
  if (measuredMs < MIN_MEASURING_MS || runs < MIN_RUNS) return undefined;
  // The sums of a constant demand rise to the time constant times its rate.
  const windowS = DEMAND_DECAY_MS *
    (1 - Math.exp(-measuredMs / DEMAND_DECAY_MS)) / 1000;
  const recent = (sum: DecayingSum) => sum.at(now, DEMAND_DECAY_MS);
  const runMs = sums.runMs.at(now, DURATION_DECAY_MS);
  const outputTokens = sums.outputTokens.at(now, DURATION_DECAY_MS);
  const memoryMs = outputTokens > 0
    ? recent(sums.memoryOutputs) * runMs / outputTokens
    : recent(sums.memory) * runMs / runs;
  const requests = Math.max(Number.MIN_VALUE, recent(sums.requests));
  const prefills = recent(sums.prefills);
  return {
    promptTokensPerSecond: recent(sums.promptTokens) / windowS,
    memoryTokens: memoryMs / 1000 / windowS,
    meanPromptTokens: prefills > 0 ? recent(sums.promptTokens) / prefills : 0,
    runMs: runMs / runs,
    objectiveMs: recent(sums.objectives) / requests,
  };
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  const upper = sorted[Math.floor(sorted.length / 2)] ?? 1;
  const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? upper;
  return (lower + upper) / 2;
}
