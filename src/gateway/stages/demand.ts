/** The work that callers ask of the two stages of a service. */
import type { Milliseconds } from "../../util/units.ts";
import type { ReplicaEntry } from "../replicas/model.ts";

/** Demand and capacity of a service over the last seconds. */
export type StageDemand = {
  /** Prompt tokens per second that were not cached. */
  readonly promptTokensPerSecond: number;
  /**
   * Memory asked for at decode replicas of speed 1: tokens times seconds per
   * second.
   */
  readonly memoryTokens: number;
  /** Mean prompt tokens of a request that needs a prefill. */
  readonly meanPromptTokens: number;
  /** Mean time that a request keeps its memory at a replica of speed 1. */
  readonly runMs: Milliseconds;
  /** Mean time within which a first event is on time. */
  readonly objectiveMs: Milliseconds;
};

/** What one replica can do, as measured by the service's planner. */
export type ReplicaCapacity = {
  readonly incarnation: string;
  /** Speed compared with the median of its pool; 1 if unknown. */
  readonly speed: number;
  /** Prompt tokens per second if it prefills. */
  readonly promptTokensPerSecond: number;
};

/** Measurements by which a service's stages are balanced. */
export type StageMeasurement = {
  readonly demand: StageDemand;
  /** Memory of one decode replica, in tokens. */
  readonly memory: number;
  readonly capacities: readonly ReplicaCapacity[];
};

/** Measures the services that this host plans. */
export type StageMeter = {
  /** Whether stages are balanced by measurements. */
  isEnabled(): boolean;
  /** Undefined until enough is measured. */
  measure(
    service: string,
    replicas: readonly ReplicaEntry[],
  ): StageMeasurement | undefined;
};
