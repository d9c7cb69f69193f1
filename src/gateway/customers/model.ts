/** Customers: who may send requests, and how much. */

/** What a quota counts. */
export const QuotaUnit = {
  /** Tokens of the prompt and of the longest answer. */
  tokens: "tokens",
  requests: "requests",
} as const;
/** One of the values of {@link QuotaUnit}. */
export type QuotaUnit = typeof QuotaUnit[keyof typeof QuotaUnit];

/** How much all hosts together may take of one customer. */
export type Quota = {
  readonly unit: QuotaUnit;
  /** Units a second in the long run. */
  readonly perSecond: number;
  /** Units that may come at once on top. */
  readonly burst: number;
  /** Units of a request that names no tokens. */
  readonly plainUnits: number;
};

/** One customer of the deployment. */
export type Customer = {
  readonly name: string;
  /** SHA-256 of each of its keys, in hex. */
  readonly keyDigests: readonly string[];
  /** Goes before its routes' priority; absent: the route's holds. */
  readonly priority?: number;
  /** Absent: no limit. */
  readonly quota?: Quota;
};

/** Tokens that a request names; both are 0 when it names none. */
export type RequestTokens = {
  readonly promptTokens: number;
  readonly outputLimit: number;
};

/** What a request takes of its customer's quota. */
export function quotaUnits(quota: Quota, tokens: RequestTokens): number {
  if (quota.unit === QuotaUnit.requests) return 1;
  const named = tokens.promptTokens + tokens.outputLimit;
  return named > 0 ? named : quota.plainUnits;
}
