/** A planner's queue and its ledger of granted places. */
import type {
  CustomerId,
  HostId,
  Milliseconds,
  RequestId,
  ServiceId,
  UpstreamId,
} from "../ids.ts";
import type { PlanAsk } from "../../messages/peer.ts";

/** An ask that waits at its planner. */
export type Ask = {
  readonly from: HostId;
  readonly ask: PlanAsk;
  readonly arrived: Milliseconds;
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
  readonly service: ServiceId;
  readonly customer: CustomerId;
  /** "" when the decode upstream does the prefill. */
  readonly prefill: UpstreamId;
  readonly decode: UpstreamId;
  readonly uncachedTokens: number;
  stage: Stage;
  stageSince: Milliseconds;
  renewedAt: Milliseconds;
};

/** What the grants of one upstream come to, kept beside the ledger. */
export type Occupancy = {
  /** Requests that hold a decode slot, in whatever stage. */
  held: number;
  /** Those of them that decode. */
  decoding: number;
  /** Uncached tokens of each request in prefill, oldest first. */
  readonly prefilling: Map<RequestId, number>;
  /** Sum of `prefilling`. */
  prefillTokens: number;
  /** When the oldest of `prefilling` became the oldest. */
  headSince: Milliseconds;
  /** Transfers that have started and not ended. */
  transfers: number;
  /** `decoding` when the last load report came. */
  decodingAtReport: number;
};

/** What one customer holds of a service. */
export type Holding = { held: number; share: number };

/** One service as its planner sees it. */
export type Service = {
  readonly holdings: Map<CustomerId, Holding>;
  /** Requests held by all customers. */
  held: number;
  /** Smoothed time that a decode takes. */
  decodeMs: Milliseconds;
  /** Smoothed time between two ends of requests. */
  endGapMs: Milliseconds;
  lastEndAt: Milliseconds;
  /** Something has changed since the queue was last gone through. */
  changed: boolean;
  nextPassAt: Milliseconds;
};

/** The planner's tables. */
export type Plans = {
  /** Waiting asks by service. */
  readonly asks: Map<ServiceId, Map<RequestId, Ask>>;
  readonly grants: Map<RequestId, Grant>;
  readonly occupancy: Map<UpstreamId, Occupancy>;
  readonly services: Map<ServiceId, Service>;
};

/** Tables without rows. */
export function emptyPlans(): Plans {
  return {
    asks: new Map(),
    grants: new Map(),
    occupancy: new Map(),
    services: new Map(),
  };
}
