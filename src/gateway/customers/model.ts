/** Customers, their keys and their quotas. */

/** What a quota counts. */
export const QuotaUnit = {
  /** Tokens of the prompt plus the output limit. */
  tokens: "tokens",
  requests: "requests",
} as const;
/** One of the values of {@link QuotaUnit}. */
export type QuotaUnit = typeof QuotaUnit[keyof typeof QuotaUnit];

/** Limit on the requests of one customer, across all hosts. */
export type Quota = {
  readonly unit: QuotaUnit;
  /** Long-term rate in units per second. */
  readonly perSecond: number;
  /** Units allowed at once in addition to the rate. */
  readonly burst: number;
  /** Units of a request that states no tokens. */
  readonly plainUnits: number;
};

export type Customer = {
  readonly name: string;
  /** SHA-256 digest of each of its keys, in hex. */
  readonly keyDigests: readonly string[];
  /** Overrides the priority of the route, if present. */
  readonly priority?: number;
  /** Unlimited if absent. */
  readonly quota?: Quota;
};

/** Tokens that a request states; both are 0 if it states none. */
export type RequestTokens = {
  readonly promptTokens: number;
  readonly outputLimit: number;
};

/** Units that a request costs. */
export function quotaUnits(quota: Quota, tokens: RequestTokens): number {
  if (quota.unit === QuotaUnit.requests) return 1;
  const tokenCount = tokens.promptTokens + tokens.outputLimit;
  return tokenCount > 0 ? tokenCount : quota.plainUnits;
}
