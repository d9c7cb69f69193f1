/** Summaries that planners have sent to this host, for the next planners. */
import { evictOldest } from "../../util/evict_oldest.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { RatesMessage } from "./messages.ts";
import { MAX_SUMMARY_AGE_MS } from "./rate_summary.ts";

const MAX_SERVICES = 1000;

type KeptSummary = {
  readonly message: RatesMessage;
  readonly receivedAt: Milliseconds;
};

/** The last summary of each service. */
export class KeptSummaries {
  readonly #services = new Map<string, KeptSummary>();

  /** Replaces the summary of a service. */
  keep(message: RatesMessage, now: Milliseconds): void {
    this.#services.delete(message.service);
    this.#services.set(message.service, { message, receivedAt: now });
    evictOldest(this.#services, MAX_SERVICES);
  }

  /** The summary of a service with its present age, unless it is too old. */
  get(service: string, now: Milliseconds): RatesMessage | undefined {
    const kept = this.#services.get(service);
    if (!kept) return undefined;
    const { message, receivedAt } = kept;
    const ageMs = message.ageMs + now - receivedAt;
    return ageMs > MAX_SUMMARY_AGE_MS ? undefined : { ...message, ageMs };
  }
}
