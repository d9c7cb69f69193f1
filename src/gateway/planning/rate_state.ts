/** What a planner has measured of the replicas of its services. */
import { Ejection } from "./ejection.ts";
import { KnownReplicas } from "./known_replicas.ts";
import { RecentOutcomes } from "./recent_outcomes.ts";
import { ServiceRates } from "./service_rates.ts";
import type { PlannerView } from "./view.ts";

/** Estimates, outcomes and ejections of one planner. */
export class RateState {
  readonly #services = new Map<string, ServiceRates>();
  readonly replicas = new KnownReplicas();
  readonly outcomes = new RecentOutcomes();
  readonly ejection: Ejection;

  constructor(view: Pick<PlannerView, "events" | "metrics">) {
    this.ejection = new Ejection(view);
  }

  /** The rates of a service, if it has any. */
  find(service: string): ServiceRates | undefined {
    return this.#services.get(service);
  }

  /** The rates of a service; created if it has none. */
  of(service: string): ServiceRates {
    const known = this.#services.get(service);
    if (known) return known;
    const rates = new ServiceRates();
    this.#services.set(service, rates);
    return rates;
  }
}
