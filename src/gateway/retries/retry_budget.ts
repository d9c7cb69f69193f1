/**
 * This host's share of the fleet's retry budget: over any window, extra sends
 * to a service stay under a ratio of its requests plus this host's part of a
 * fixed allowance. Each host keeps to its share alone, so the sum holds also
 * when hosts can't see each other.
 *
 * A process that is younger than a window has no part of the allowance: its last
 * one, of which it knows nothing, may have used it up. What it may send again
 * until then is the ratio of its own requests.
 */
import type { Milliseconds } from "../../util/units.ts";

/** The fleet's budget, from the settings. */
export type BudgetRule = {
  readonly windowMs: Milliseconds;
  readonly ratio: number;
  /** Allowance of the whole fleet in a window. */
  readonly extra: number;
};

/** Part of the allowance kept back for hosts that are not known of. */
const RESERVE = 0.8;

type Usage = { requests: Milliseconds[]; extras: Milliseconds[] };

/** Counts requests and extra sends by service. */
export class RetryBudget {
  #rule: BudgetRule;
  readonly #startedAt: Milliseconds;
  readonly #usage = new Map<string, Usage>();

  constructor(rule: BudgetRule, startedAt: Milliseconds) {
    this.#rule = rule;
    this.#startedAt = startedAt;
  }

  /** Puts another rule in force; what was counted stays counted. */
  change(rule: BudgetRule): void {
    this.#rule = rule;
  }

  /** A request of the service has come. */
  noteRequest(service: string, now: Milliseconds): void {
    this.#of(service, now).requests.push(now);
  }

  /** Takes one extra send, if the budget has one. */
  take(service: string, hosts: number, now: Milliseconds): boolean {
    const usage = this.#of(service, now);
    const { extra, ratio, windowMs } = this.#rule;
    const isYoung = now - this.#startedAt < windowMs;
    const share = isYoung ? 0 : extra * RESERVE / Math.max(1, hosts);
    const limit = share + ratio * RESERVE * usage.requests.length;
    if (usage.extras.length + 1 > limit) return false;
    usage.extras.push(now);
    return true;
  }

  #of(service: string, now: Milliseconds): Usage {
    const usage = this.#usage.get(service) ?? { requests: [], extras: [] };
    this.#usage.set(service, usage);
    const oldest = now - this.#rule.windowMs;
    dropBefore(usage.requests, oldest);
    dropBefore(usage.extras, oldest);
    return usage;
  }
}

function dropBefore(times: Milliseconds[], oldest: Milliseconds): void {
  const kept = times.findIndex((time) => time > oldest);
  times.splice(0, kept < 0 ? times.length : kept);
}
