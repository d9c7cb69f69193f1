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

/**
 * At most this share of the window's limit is granted within
 * {@link BURST_SPAN_SHARE} of the window. When most hosts are killed at once,
 * their records are lost; without this cap, a customer that has just used its
 * full limit could get it once more from the remaining hosts.
 */
export const BURST_SHARE = 0.45;
export const BURST_SPAN_SHARE = 1 / 4;
/**
 * Time in which an owner goes on to grant its whole limit after a network
 * partition: its links are closed after 1.3 s.
 */
const DETECTION_MS: Milliseconds = 1500;
/**
 * Hosts of which an owner has no report are taken to have used up to this
 * multiple of their part of the limit.
 */
const MAX_SKEW = 8;

/** Units that may be used in any window. */
function maxInWindow({ perSecond, burst }: Rate, bounds: QuotaBounds): number {
  const { windowMs, overshoot, tolerance } = bounds;
  const inWindow = perSecond * windowMs / 1000 + burst;
  return inWindow * (1 + overshoot) + tolerance;
}

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
  /** Whether earlier owners may have granted units that it doesn't know of. */
  readonly isProvisional?: boolean;
};

/** What an owner knows of an account. */
export type OwnerKnowledge = {
  /**
   * The part of the hosts, from 0 to 1, that have chosen this owner. A host
   * that started within the window counts in part, since it has forgotten what
   * it acquired before.
   */
  readonly share: number;
  /** Time since the first of them chose it. */
  readonly ownedMs: Milliseconds;
  /**
   * Units that it knows other owners granted in the last window, without those
   * that were granted from a provisional allowance.
   */
  readonly reportedUnits: number;
};

/**
 * Computes the allowance of an owner. The allowances of all owners of an
 * account must not add up to more than that for a share of 1.
 */
export type AllowanceRule = (
  account: { readonly name: string; readonly rate: Rate },
  knowledge: OwnerKnowledge,
) => Allowance;

/**
 * The rule for customers' quotas: the window's limit times the owner's share,
 * and no more than remains if the units that it does not know of were used.
 */
export function quotaRule(bounds: () => QuotaBounds): AllowanceRule {
  return ({ rate }, { share, ownedMs, reportedUnits }) => {
    const { windowMs } = bounds();
    const limit = windowLimitOf(rate, bounds());
    const usedShare = usedBefore(ownedMs - DETECTION_MS, windowMs);
    const unknown = Math.min(
      Math.max(0, limit * usedShare - reportedUnits),
      limit * (1 - share) * MAX_SKEW,
    );
    const left = maxInWindow(rate, bounds()) - unknown;
    const units = Math.max(0, Math.min(limit * share, left));
    return { units, windowMs, isProvisional: usedShare > 0 };
  };
}

/**
 * Most that earlier owners may have granted in the last window, as a share of
 * the window's limit, if none of them has granted anything for `idleMs`.
 */
function usedBefore(idleMs: Milliseconds, windowMs: Milliseconds): number {
  if (idleMs >= windowMs) return 0;
  const spans = Math.ceil((windowMs - idleMs) / windowMs / BURST_SPAN_SHARE);
  return Math.min(1, spans * BURST_SHARE);
}
