/** What an owner gives out of a replica's limit; pure. */
import type { Milliseconds } from "../../util/units.ts";
import type { Allowance } from "../quota/bounds.ts";

/**
 * Requests are given out in windows of about this length, so that a rate below
 * one a second is whole requests. A shorter window leaves less for bursts; in
 * a longer one what was sent before the limit was named counts for longer.
 */
const WINDOW_S = 4;
/**
 * A replica that names less, or 0, is asked this often all the same: only its
 * answers tell that its limit is over, so that is known after 5 s at the latest.
 */
export const LEAST_PER_SECOND = 0.2;
/** How long permits are remembered, to tell a new owner: a window and more. */
export const PERMITS_MEMORY_MS: Milliseconds = 5000;
/**
 * Sends of so long before a host heard of a limit count against it: a replica
 * in need has them to do yet. It covers 1 s before the limit was named and the
 * time until the first answer that names it comes.
 */
export const PAST_SENDS_MS: Milliseconds = 1500;
/**
 * They count in part, for they were sent when nobody knew better: so all sends
 * of a window in which a limit begins are at most half as many again as in any
 * other, and a replica at half as much again as its limit isn't left idle.
 */
export const PAST_SEND_UNITS = 2 / 3;

/**
 * The requests that an owner named by `share` of the hosts lets through: in the
 * long run exactly its part of the rate. Below one request in a window it is the
 * window that grows, so that hosts that are cut off from most others still use
 * the replica.
 */
export function limitAllowance(perSecond: number, share: number): Allowance {
  const rate = Math.max(LEAST_PER_SECOND, perSecond) * share;
  if (rate <= 0) return { units: 0, windowMs: WINDOW_S * 1000 };
  const units = Math.ceil(rate * WINDOW_S);
  return { units, windowMs: units / rate * 1000 };
}
