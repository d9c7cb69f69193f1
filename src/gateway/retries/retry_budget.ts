/**
 * This host's share of the fleet's retry budget. In any window, retries to a
 * service are limited to a ratio of its requests plus this host's share of a
 * fixed allowance. Each host enforces its own share, so the limit also applies
 * when hosts can't reach each other.
 *
 * A process that is younger than a window gets no share of the allowance, since
 * its predecessor may have used it up. Until then its retries are limited to the
 * ratio of its own requests.
 */
import type { Milliseconds } from "../../util/units.ts";

/** The fleet's retry budget, from the settings. */
export type BudgetRule = {
  readonly windowMs: Milliseconds;
  readonly ratio: number;
  /** Fixed allowance of the fleet per window. */
  readonly extra: number;
};

/** Share of the budget that is used; the rest is reserved for unknown hosts. */
const USABLE_SHARE = 0.8;

type Usage = { requests: Milliseconds[]; retries: Milliseconds[] };

/** Counts requests and retries by service. */
export class RetryBudget {
  #rule: BudgetRule;
  readonly #startedAt: Milliseconds;
  readonly #usage = new Map<string, Usage>();

  constructor(rule: BudgetRule, startedAt: Milliseconds) {
    this.#rule = rule;
    this.#startedAt = startedAt;
  }

  /** Replaces the rule; the counts are retained. */
  setRule(rule: BudgetRule): void {
    this.#rule = rule;
  }

  noteRequest(service: string, now: Milliseconds): void {
    this.#usageOf(service, now).requests.push(now);
  }

  /**
   * Acquires one retry; false if `part` of the budget, or all of it, is
   * exhausted.
   */
  acquire(
    service: string,
    hosts: number,
    now: Milliseconds,
    part = 1,
  ): boolean {
    const usage = this.#usageOf(service, now);
    const { extra, ratio, windowMs } = this.#rule;
    const isNewProcess = now - this.#startedAt < windowMs;
    const share = isNewProcess ? 0 : extra * USABLE_SHARE / Math.max(1, hosts);
    const limit = share + ratio * USABLE_SHARE * usage.requests.length;
    if (usage.retries.length + 1 > limit * part) return false;
    usage.retries.push(now);
    return true;
  }

  #usageOf(service: string, now: Milliseconds): Usage {
    const usage = this.#usage.get(service) ?? { requests: [], retries: [] };
    this.#usage.set(service, usage);
    const oldest = now - this.#rule.windowMs;
    dropExpired(usage.requests, oldest);
    dropExpired(usage.retries, oldest);
    return usage;
  }
}

function dropExpired(times: Milliseconds[], oldest: Milliseconds): void {
  const firstRecent = times.findIndex((time) => time > oldest);
  times.splice(0, firstRecent < 0 ? times.length : firstRecent);
}
