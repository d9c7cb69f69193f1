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
  /** What it uses of the service: tokens of memory, or time in a slot. */
  readonly cost: number;
  /** When the service can serve it at the earliest, apart from bookings. */
  readonly earliestAt: Milliseconds;
  /** The latest time at which its caller can be told to retry. */
  readonly latestAt: Milliseconds;
};

/** What is known of a request that arrives. */
export type Claim =
  /** It has no booking. */
  | { readonly type: "none" }
  /** It claims its place: it goes before new requests of its priority. */
  | { readonly type: "claimed" }
  /** It retries too early; its place begins after `retryAfterMs`. */
  | { readonly type: "early"; readonly retryAfterMs: Milliseconds }
  /** Its place has been released; it goes first among new requests. */
  | { readonly type: "lapsed" };

/** The bookings of one planner. */
export type Bookings = {
  /** Books a place; returns when it begins, or undefined without one in time. */
  book(request: BookingRequest, now: Milliseconds): Milliseconds | undefined;
  /** Finds the booking of a request that arrives, and claims its place. */
  claim(
    request: Pick<BookingRequest, "key" | "service">,
    now: Milliseconds,
  ): Claim;
  /** Cost of the unclaimed places of a service that begin before `until`. */
  costUntil(service: string, until: Milliseconds, now: Milliseconds): number;
};

/** Books no places. */
export const NO_BOOKINGS: Bookings = {
  book: () => undefined,
  claim: () => ({ type: "none" }),
  costUntil: () => 0,
};
