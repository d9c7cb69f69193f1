/** What all hosts together may take of an account. */
import type { Milliseconds } from "../../util/units.ts";

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

/** What an owner gives out of an account. */
export type Allowance = {
  /** In any span of `windowMs`. */
  readonly units: number;
  readonly windowMs: Milliseconds;
};

/**
 * The allowance of an owner that is named by `share` of the hosts, from 0 to 1.
 * The allowances of all owners of an account add up to no more than one with
 * the whole.
 */
export type AllowanceRule = (
  account: { readonly name: string; readonly rate: Rate },
  share: number,
) => Allowance;

/** Customers' quotas: the bounds' window, and the owner's part of the units. */
export function quotaRule(bounds: () => QuotaBounds): AllowanceRule {
  return ({ rate }, share) => ({
    units: windowLimitOf(rate, bounds()) * share,
    windowMs: bounds().windowMs,
  });
}
