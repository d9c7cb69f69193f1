/** How much of a service's demand a split of its replicas can serve. */
import type { Milliseconds } from "../../util/units.ts";
import type { StageDemand } from "./demand.ts";

/** Sums over the replicas of a split. */
export type SplitCapacity = {
  readonly prefills: number;
  /** Prompt tokens per second of all prefill replicas. */
  readonly prefillRate: number;
  /** Prompt tokens per second of the fastest one. */
  readonly fastestPrefillRate: number;
  readonly decodes: number;
  /** Speeds of all decode replicas. */
  readonly decodeSpeed: number;
  /** Prompt tokens per second of the decode replicas if all prefilled. */
  readonly decodePrefillRate: number;
};

/** The demand on a service whose decode replicas have `memory` tokens each. */
export type SplitDemand = StageDemand & {
  readonly memory: number;
  /** Prefill time of a mean prompt at a replica of median rate. */
  readonly prefillMs: Milliseconds;
};

/** Part of the objective that a prompt may wait for its prefill. */
const MAX_WAIT_SHARE = 0.25;
/** Share of the memory that is usable, since requests don't fit exactly. */
const USABLE_MEMORY_SHARE = 0.9;
/**
 * Pace of a local prefill, as a share of the pace of a prefill replica. A decode
 * replica processes prompts at half the pace, and slows down its other requests
 * meanwhile.
 */
const LOCAL_PREFILL_PACE = 0.25;
/** Value of capacity beyond the demand, which only bursts use. */
const RESERVE_WEIGHT = 0.2;
/** Capacity beyond this multiple of the demand has no value. */
const MAX_SERVED = 2;
/** Weight of the value after the loss of the fastest prefill replica. */
const LOSS_WEIGHT = 0.1;
/** Value of a split without replicas of a stage. */
const MIN_VALUE = 0.01;
/** Bisection steps in the computation of a utilization. */
const BISECTION_STEPS = 12;

/** Values splits for one demand. */
export class SplitValue {
  readonly #demand: SplitDemand;
  readonly #utilizations = new Map<number, number>();

  constructor(demand: SplitDemand) {
    this.#demand = demand;
  }

  /**
   * The value of a split: 1 serves the demand, and the weight of more is small.
   * Includes the value after the loss of a prefill replica.
   */
  of(split: SplitCapacity): number {
    const whole = valueOfServed(this.servedBy(split));
    if (split.prefills === 0) return whole;
    const afterLoss = valueOfServed(this.servedBy({
      ...split,
      prefills: split.prefills - 1,
      prefillRate: split.prefillRate - split.fastestPrefillRate,
    }));
    return whole * (1 - LOSS_WEIGHT) + afterLoss * LOSS_WEIGHT;
  }

  /** The value of the present split; least if it lacks a stage in demand. */
  ofPresent(split: SplitCapacity): number {
    const { promptTokensPerSecond } = this.#demand;
    const isWhole = split.decodes > 0 &&
      (split.prefills > 0 || promptTokensPerSecond === 0);
    return isWhole ? this.of(split) : MIN_VALUE;
  }

  /** The multiple of the demand that a split can serve; may be Infinity. */
  servedBy(split: SplitCapacity): number {
    const { promptTokensPerSecond, memoryTokens, memory } = this.#demand;
    if (split.decodes === 0) return 0;
    const memoryLoad = memoryTokens /
      (split.decodeSpeed * memory * USABLE_MEMORY_SHARE);
    if (promptTokensPerSecond === 0) return 1 / memoryLoad;
    const localRate = split.decodePrefillRate * LOCAL_PREFILL_PACE;
    const localLoad = promptTokensPerSecond / localRate;
    const prefillRate = split.prefills === 0
      ? 0
      : split.prefillRate * this.#utilization(split.prefills);
    if (promptTokensPerSecond <= prefillRate * memoryLoad) {
      return 1 / memoryLoad;
    }
    // The decode replicas do the rest of the prefills.
    return (1 + prefillRate / localRate) / (memoryLoad + localLoad);
  }

  /**
   * Utilization of `count` prefill replicas at which the mean wait of a prompt
   * reaches its part of the objective; by Sakasegawa's approximation for a
   * queue with several servers.
   */
  #utilization(count: number): number {
    const known = this.#utilizations.get(count);
    if (known !== undefined) return known;
    const { prefillMs, objectiveMs } = this.#demand;
    const maxWaitMs = objectiveMs * MAX_WAIT_SHARE;
    const exponent = Math.sqrt(2 * (count + 1)) - 1;
    let low = 0;
    let high = 1;
    for (let step = 0; step < BISECTION_STEPS; step++) {
      const middle = (low + high) / 2;
      const waitMs = prefillMs / count * middle ** exponent / (1 - middle);
      if (waitMs > maxWaitMs) high = middle;
      else low = middle;
    }
    const utilization = (low + high) / 2;
    this.#utilizations.set(count, utilization);
    return utilization;
  }
}

function valueOfServed(served: number): number {
  const reserve = Math.min(MAX_SERVED, Math.max(1, served)) - 1;
  return Math.min(1, served) + reserve * RESERVE_WEIGHT;
}
