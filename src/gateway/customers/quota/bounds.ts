/** How far the sum over all hosts may pass a customer's quota. */
import type { Milliseconds } from "../../../core/ids.ts";

/**
 * In any window, all hosts together let through no more than
 * (rate x window + burst) x (1 + overshoot) + tolerance. Settings of the
 * deployment.
 */
export type QuotaBounds = {
  readonly windowMs: Milliseconds;
  readonly overshoot: number;
  /** In the quota's units. */
  readonly tolerance: number;
};

/** A customer's rate and burst. */
export type Rate = {
  readonly perSecond: number;
  readonly burst: number;
};

/**
 * Part of the overshoot that a bucket holds on top of its burst: requests reach
 * their owner with delays of their own, and none below the limit is to be
 * refused for that. The other part is for owners that change.
 */
const HEADROOM_SHARE = 0.5;
/**
 * A new owner begins with this part of the tolerance, since it knows nothing of
 * what its predecessor gave: so many changes of owner in one window stay within
 * the tolerance.
 */
const FIRST_SHARE = 1 / 8;

/** Most units that may be saved up for a burst. */
export function capacityOf(rate: Rate, bounds: QuotaBounds): number {
  const { perSecond, burst } = rate;
  const inWindow = perSecond * bounds.windowMs / 1000 + burst;
  return burst + HEADROOM_SHARE * bounds.overshoot * inWindow;
}

/** Units with which a new owner of the whole fleet begins. */
export function firstLevelOf(bounds: QuotaBounds): number {
  return FIRST_SHARE * bounds.tolerance;
}
