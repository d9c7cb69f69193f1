/** The work that callers ask of the two stages of a service. */

/** Demand and capacity of a service over the last seconds. */
export type StageDemand = {
  /** Prompt tokens per second that were not cached. */
  readonly promptTokensPerSecond: number;
  /** Memory asked for at decode replicas: tokens times seconds per second. */
  readonly memoryTokens: number;
};

/** What one replica can do, as measured by the service's planner. */
export type ReplicaCapacity = {
  readonly incarnation: string;
  /** Speed compared with the median of its pool; 1 if unknown. */
  readonly speed: number;
  /** Prompt tokens per second if it prefills. */
  readonly promptTokensPerSecond: number;
};
