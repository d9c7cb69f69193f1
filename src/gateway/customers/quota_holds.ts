/**
 * Reports customers of which requests are refused to leave their quota to more
 * urgent or larger ones.
 */
import type { Milliseconds } from "../../util/units.ts";
import type { EventLog } from "../observe/event_log.ts";
import type { Metrics } from "../observe/metrics.ts";
import type { QuotaHold } from "../quota/ledger.ts";
import { HoldCause } from "../quota/request_order.ts";

/** A hold ends when no request was refused for this time. */
const HOLD_END_MS: Milliseconds = 2000;
/** Customers with events of their own; the counters include all. */
const MAX_CUSTOMERS = 100;

/** One counter for each cause. */
const COUNTERS = {
  [HoldCause.urgent]: "quota_held_for_urgent",
  [HoldCause.assured]: "quota_held_for_less_urgent",
  [HoldCause.large]: "quota_held_for_large",
} as const;

type Hold = {
  readonly since: Milliseconds;
  lastAt: Milliseconds;
  requests: number;
  units: number;
};

/** Options of {@link QuotaHolds}. */
export type QuotaHoldsOptions = {
  readonly events: EventLog;
  readonly metrics: Pick<Metrics, "count">;
};

/** The customers whose requests are held back at this owner. */
export class QuotaHolds {
  readonly #options: QuotaHoldsOptions;
  readonly #holds = new Map<string, Hold>();

  constructor(options: QuotaHoldsOptions) {
    this.#options = options;
  }

  /** Records a refusal. */
  note(
    { customer, units, priority, cause }: QuotaHold,
    now: Milliseconds,
  ): void {
    const { events, metrics } = this.#options;
    metrics.count(COUNTERS[cause]);
    const known = this.#holds.get(customer);
    if (known) {
      known.lastAt = now;
      known.requests += 1;
      known.units += units;
      return;
    }
    if (this.#holds.size >= MAX_CUSTOMERS) return;
    this.#holds.set(customer, { since: now, lastAt: now, requests: 1, units });
    events.note("quotaHeld", { customer, cause, priority, units });
  }

  /** Reports the holds that have ended; call periodically. */
  expire(now: Milliseconds): void {
    for (const [customer, { since, lastAt, requests, units }] of this.#holds) {
      if (now - lastAt < HOLD_END_MS) continue;
      this.#holds.delete(customer);
      const held_ms = Math.round(lastAt - since);
      const fields = { customer, held_ms, requests, units };
      this.#options.events.note("quotaReleased", fields);
    }
  }
}
