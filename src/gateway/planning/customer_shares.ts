/**
 * Shares an overloaded service among the customers of one priority in
 * proportion to their weights. What a customer leaves unused is given to the
 * others, and a customer that was idle is not owed the past.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { CustomerRates } from "./customer_activity.ts";
import type { PlanRequest } from "./messages.ts";
import type { QueuedRequest } from "./request_queue.ts";

/** The fields of a request that its share depends on. */
export type SharedRequest = Pick<
  PlanRequest,
  "service" | "priority" | "customer" | "tokens"
>;

/** The fields of a queued request that the shares read and set. */
export type RankedRequest =
  & Pick<
    QueuedRequest,
    "dueAt" | "mayHaveRun" | "priority" | "startTag" | "nextForecastAt"
  >
  & { readonly request: SharedRequest };

/** The replicas of a plain service that accept new work. */
export type PlainPool = {
  /** Requests that they run at once. */
  readonly slots: number;
  /** Requests that all hosts have there, running and queued. */
  readonly inFlight: number;
};

/** Shares of the services of one planner. */
export type CustomerShares = {
  /** Counts a request that arrived. */
  noteRequest(request: SharedRequest, now: Milliseconds): void;
  /** Counts a request that is granted an assignment. */
  noteGrant(request: SharedRequest, now: Milliseconds): void;
  /** Records that a waiting request was not granted an assignment. */
  noteNotServed(queued: RankedRequest, now: Milliseconds): void;
  /**
   * Ranks the waiting requests of model services: sets `startTag`, and a
   * `priority` between two routes' for requests beyond their customer's share.
   */
  rank(
    waiting: Iterable<RankedRequest>,
    memoryOf: (service: string) => number,
    now: Milliseconds,
  ): void;
  /**
   * Whether a request to a plain service is within its customer's share, or the
   * service has a free slot.
   */
  hasPlainRoom(
    request: SharedRequest,
    pool: PlainPool,
    now: Milliseconds,
  ): boolean;
  /** Refuses a request beyond its customer's share; returns when to retry. */
  refusePlain(
    request: SharedRequest & Pick<PlanRequest, "longestRetryMs">,
    now: Milliseconds,
  ): Milliseconds;
  /** The rates of the most active customers. */
  mostActive(count: number, now: Milliseconds): CustomerRates[];
};
