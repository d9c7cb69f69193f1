/** Metrics of the most active customers at this host's planner. */
import type { LabelledGauge } from "../observe/metrics.ts";
import type { CustomerRates } from "../planning/customer_activity.ts";

/** Customers with metrics of their own; one counts for each service. */
export const MAX_CUSTOMER_METRICS = 20;

/** Gauges by customer and service. */
export function customerGauges(
  rates: readonly CustomerRates[],
): LabelledGauge[] {
  const gauge = (name: string, valueOf: (rate: CustomerRates) => number) => ({
    name,
    values: rates.map((rate) => ({
      labels: {
        customer: rate.customer,
        service: rate.service,
        priority: String(rate.priority),
      },
      value: Math.round(valueOf(rate) * 100) / 100,
    })),
  });
  return [
    gauge("customer_requests_per_second", (rate) => rate.asked),
    gauge("customer_grants_per_second", (rate) => rate.granted),
    gauge("customer_in_use", (rate) => rate.meanUse),
    gauge("customer_held", (rate) => rate.isHeld ? 1 : 0),
  ];
}
