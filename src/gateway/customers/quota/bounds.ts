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
 * Part of the overshoot and the tolerance that is given out: requests reach
 * their owner with delays of their own, and none below the limit is to be
 * refused for that. The rest is for owners that change: when the fleet is split
 * an owner notices after 1.3 s that a part of its members has left.
 */
const SPARE_SHARE = 1 / 4;

/** What all hosts together give out in one window, in the quota's units. */
export function windowLimitOf(rate: Rate, bounds: QuotaBounds): number {
  const { perSecond, burst } = rate;
  const { windowMs, overshoot, tolerance } = bounds;
  const inWindow = perSecond * windowMs / 1000 + burst;
  return inWindow * (1 + overshoot * SPARE_SHARE) + tolerance * SPARE_SHARE;
}
