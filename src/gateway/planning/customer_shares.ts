/**
 * Shares an overloaded service among the customers of one priority in
 * proportion to their weights. What a customer leaves unused is given to the
 * others, and a customer that was idle is not owed the past.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { PlanRequest } from "./messages.ts";

/** A request as the shares see it. */
export type SharedRequest = {
  readonly service: string;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  /** Empty for requests without a customer, which share one part. */
  readonly customer: string;
  /** What it uses of the service: memory or slots over time. */
  readonly cost: number;
};

/** The fields of a queued request that its share depends on. */
export function sharedRequest(
  { service, priority, customer, tokens }: PlanRequest,
): SharedRequest {
  return { service, priority, customer, cost: tokens };
}

/** Shares of the services of one planner. */
export type CustomerShares = {
  /**
   * Position of a request among those of its service and priority: the smaller
   * is served first. 0 for all while there is at most one customer.
   */
  startTagOf(request: SharedRequest, now: Milliseconds): number;
  /** Charges a request to its customer when it is granted. */
  noteGrant(request: SharedRequest, now: Milliseconds): void;
  /** Whether the customer has received more than its share lately. */
  isOverShare(request: SharedRequest, now: Milliseconds): boolean;
};

/** Distinguishes no customers. */
export const NO_SHARES: CustomerShares = {
  startTagOf: () => 0,
  noteGrant: () => undefined,
  isOverShare: () => false,
};
