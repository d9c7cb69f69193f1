/** A planner's queue and its ledger of granted places. */
import type { RequestId } from "../request_ids.ts";
import type { CustomerId, HostId, PoolId, UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { PlanAsk } from "../../messages/peer.ts";

/** An ask that waits at its planner. */
export type Ask = {
  readonly from: HostId;
  readonly ask: PlanAsk;
  /** When its first token is due. */
  readonly due: Milliseconds;
  readonly giveUpAt: Milliseconds;
  queued: boolean;
};

/** How far a granted request is, as its planner knows. */
export const Stage = {
  prefill: "prefill",
  transfer: "transfer",
  decode: "decode",
  ended: "ended",
} as const;
/** One of the values of {@link Stage}. */
export type Stage = typeof Stage[keyof typeof Stage];

/** A place held for a request. */
export type Grant = {
  readonly request: RequestId;
  readonly pool: PoolId;
  readonly customer: CustomerId;
  /** "" when the decode upstream does the prefill. */
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly uncachedTokens: number;
  /** Tokens whose cache must be moved; 0 when nothing is. */
  readonly transferTokens: number;
  stage: Stage;
  stageSince: Milliseconds;
  renewedAt: Milliseconds;
};

/** Work that one upstream does one after the other. */
export type Line = {
  /** Tokens of each request, oldest first. */
  readonly tokensOf: Map<RequestId, number>;
  /** Sum of them. */
  tokens: number;
  /** When the oldest became the oldest. */
  headSince: Milliseconds;
};

/** What the grants of one upstream come to, kept beside the ledger. */
export type Occupancy = {
  /** Requests that hold a decode slot, in whatever stage. */
  held: number;
  /** Those of them that decode. */
  decoding: number;
  /** Uncached tokens that wait for or are in prefill. */
  readonly prefills: Line;
  /** Tokens whose cache waits to be moved or is being moved. */
  readonly transfers: Line;
  /** Tokens to be moved once the requests in prefill are through. */
  transfersToCome: number;
  /** `decoding` when the last load report came. */
  decodingAtReport: number;
};

/** What one customer holds of a pool. */
export type Holding = { held: number; share: number };

/** The use of one pool, as its planner sees it. */
export type PoolUse = {
  readonly holdings: Map<CustomerId, Holding>;
  /** Requests held by all customers. */
  held: number;
  /** Smoothed time between two ends of requests. */
  endGapMs: Milliseconds;
  lastEndAt: Milliseconds;
  /** Something has changed since the queue was last gone through. */
  changed: boolean;
  nextPassAt: Milliseconds;
};

/** The planner's tables. */
export type Plans = {
  /** Waiting asks by pool. */
  readonly asks: Map<PoolId, Map<RequestId, Ask>>;
  readonly grants: Map<RequestId, Grant>;
  readonly occupancy: Map<UpstreamId, Occupancy>;
  readonly uses: Map<PoolId, PoolUse>;
};

/** Tables without rows. */
export function emptyPlans(): Plans {
  return {
    asks: new Map(),
    grants: new Map(),
    occupancy: new Map(),
    uses: new Map(),
  };
}
