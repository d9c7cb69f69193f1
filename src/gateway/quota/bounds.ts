/** Limits on what all hosts together may acquire from an account. */
import type { Milliseconds } from "../../util/units.ts";

/**
 * In any window, all hosts together admit no more than
 * (rate x window + burst) x (1 + overshoot) + tolerance units. Set by the
 * deployment's settings.
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
 * Share of the overshoot and the tolerance that owners grant, so that requests
 * below the limit are not refused because their delays to the owner vary. The
 * rest covers changes of ownership: after a network partition, an owner needs
 * up to 1.3 s to detect that members are unreachable.
 */
const GRANTED_MARGIN_SHARE = 1 / 4;

/** Units that all owners together grant in one window. */
export function windowLimitOf(rate: Rate, bounds: QuotaBounds): number {
  const { perSecond, burst } = rate;
  const { windowMs, overshoot, tolerance } = bounds;
  const inWindow = perSecond * windowMs / 1000 + burst;
  return inWindow * (1 + overshoot * GRANTED_MARGIN_SHARE) +
    tolerance * GRANTED_MARGIN_SHARE;
}

/** Units that an owner may grant from an account. */
export type Allowance = {
  /** Maximum in any span of `windowMs`. */
  readonly units: number;
  readonly windowMs: Milliseconds;
};

/**
 * Computes the allowance of an owner that `share` of the hosts, from 0 to 1,
 * have chosen. The allowances of all owners of an account must not add up to
 * more than the allowance for a share of 1.
 */
export type AllowanceRule = (
  account: { readonly name: string; readonly rate: Rate },
  share: number,
) => Allowance;

/**
 * The rule for customers' quotas: the window's limit times the owner's share.
 */
export function quotaRule(bounds: () => QuotaBounds): AllowanceRule {
  return ({ rate }, share) => ({
    units: windowLimitOf(rate, bounds()) * share,
    windowMs: bounds().windowMs,
  });
}
