/** Metrics that tell why a replica gets little or no work. */
import type { Milliseconds } from "../../util/units.ts";
import type { LabelledGauge } from "../observe/metrics.ts";
import type { MeasuredRates } from "./measured_rates.ts";

/** The speed of each replica, and whether it is ejected. */
export function rateGauges(
  rates: Pick<MeasuredRates, "replicasAt" | "speedOf" | "isEjected">,
  now: Milliseconds,
): LabelledGauge[] {
  const replicas = rates.replicasAt(now);
  const family = (
    name: string,
    valueOf: (incarnation: string) => number,
  ): LabelledGauge => ({
    name,
    values: replicas.map(({ service, incarnation, stage }) => ({
      labels: { service, replica: incarnation, stage: stage ?? "" },
      value: valueOf(incarnation),
    })),
  });
  return [
    family(
      "replica_speed",
      (incarnation) => Number(rates.speedOf(incarnation).toFixed(3)),
    ),
    family(
      "replica_ejected",
      (incarnation) => rates.isEjected(incarnation, now) ? 1 : 0,
    ),
  ];
}
