/**
 * This host's share of the fleet's retry budget: over any window, extra sends
 * to a service stay under a ratio of its requests plus this host's part of a
 * fixed allowance. Each host keeps to its share alone, so the sum holds also
 * when hosts can't see each other.
 */
import type { Milliseconds } from "../../core/ids.ts";

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
  readonly #usage = new Map<string, Usage>();

  constructor(rule: BudgetRule) {
    this.#rule = rule;
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
    const share = this.#rule.extra * RESERVE / Math.max(1, hosts);
    const limit = share + this.#rule.ratio * RESERVE * usage.requests.length;
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
