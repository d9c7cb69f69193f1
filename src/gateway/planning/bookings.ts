/**
 * Reserves later places for requests that are refused, so that a caller who
 * retries at the time it was told is served. A place is given out once; a place
 * that is not claimed within a short time is released.
 */
import type { Milliseconds } from "../../util/units.ts";

/** A request that is refused now and may be served later. */
export type BookingRequest = {
  /** Identifies the request over all attempts of its caller; not empty. */
  readonly key: string;
  readonly service: string;
  /** Rank of its route; 0 is the most urgent. */
  readonly priority: number;
  /** What it uses of the service: tokens of memory, or calls. */
  readonly cost: number;
  /** Cost per millisecond that the service gets free when it is busy. */
  readonly costPerMs: number;
  /** When the service can serve it at the earliest, apart from bookings. */
  readonly earliestAt: Milliseconds;
  /** The latest time at which its caller can be told to retry. */
  readonly latestAt: Milliseconds;
  /** When its caller stops waiting; Infinity if that is unknown. */
  readonly deadlineAt: Milliseconds;
};

/** The fields of a request by which its booking is found. */
export type ReturningRequest = {
  readonly key: string;
  readonly service: string;
  /** Time until its caller stops waiting; absent if that is unknown. */
  readonly deadlineMs?: Milliseconds;
  /** It may have run already, so it is never turned away. */
  readonly begun?: boolean;
};

/** What is known of a request that arrives. */
export type Claim =
  /** It has no booking. */
  | { readonly type: "none" }
  /** It claims its place: it goes before new requests of its priority. */
  | { readonly type: "claimed"; readonly beginsAt: Milliseconds }
  /** It retries too early; its place begins after `retryAfterMs`. */
  | { readonly type: "early"; readonly retryAfterMs: Milliseconds }
  /** Its place has been released; it goes first among new requests. */
  | { readonly type: "lapsed" };

/** A request that is refused, perhaps although it had a place. */
export type RefusedReturn = {
  readonly claim: Claim;
  readonly request: Pick<ReturningRequest, "service"> & { readonly id: string };
};

/** The bookings of one planner. */
export type Bookings = {
  /** Whether places are booked. */
  readonly isEnabled: boolean;
  /** Books a place; returns when it begins, or undefined without one in time. */
  book(request: BookingRequest, now: Milliseconds): Milliseconds | undefined;
  /** Finds the booking of a request that arrives, and claims its place. */
  claim(request: ReturningRequest, now: Milliseconds): Claim;
  /** Records that a request was refused, with the delay after which to retry. */
  noteRefusal(
    refused: RefusedReturn,
    retryAfterMs: Milliseconds | undefined,
    now: Milliseconds,
  ): void;
  /** Cost of the unclaimed places of a service that begin before `until`. */
  costUntil(service: string, until: Milliseconds, now: Milliseconds): number;
};
