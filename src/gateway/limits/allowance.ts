/** How many permits an owner grants under a replica's limit; pure functions. */
import type { Milliseconds } from "../../util/units.ts";
import type { Allowance } from "../quota/bounds.ts";

/**
 * Approximate length of the windows in which permits are granted, chosen so
 * that rates below one request per second yield whole requests. Shorter windows
 * allow smaller bursts; in longer ones, sends from before the limit count for
 * longer.
 */
const WINDOW_S = 4;
/**
 * Lower bound of the rate, also for a limit of 0. Only responses of the replica
 * show that its limit has ended, and this rate yields one within 5 s.
 */
export const MIN_PER_SECOND = 0.2;
/**
 * Time for which hosts store permits, to report them to a new owner. Longer
 * than {@link WINDOW_S}.
 */
export const PERMIT_RETENTION_MS: Milliseconds = 5000;
/**
 * Sends this recent count against a new limit, since the replica may still be
 * processing them. It covers 1 s before the replica named the limit, and the
 * time until a host receives the first response that names it.
 */
export const PAST_SENDS_WINDOW_MS: Milliseconds = 1500;
/**
 * Units counted for each such send. Counting only a part keeps all sends of a
 * limit's first window within 1.5 times its allowance, and doesn't leave a
 * replica idle that was at 1.5 times its limit.
 */
export const PAST_SEND_UNITS = 2 / 3;

/**
 * Returns the requests that an owner chosen by `share` of the hosts permits in
 * a window; on average exactly its share of the rate. Below one request per
 * window the window grows instead, so that hosts that are partitioned from most
 * others can still use the replica.
 */
export function limitAllowance(perSecond: number, share: number): Allowance {
  const rate = Math.max(MIN_PER_SECOND, perSecond) * share;
  if (rate <= 0) return { units: 0, windowMs: WINDOW_S * 1000 };
  const units = Math.ceil(rate * WINDOW_S);
  return { units, windowMs: units / rate * 1000 };
}
