/** Metric of the replicas that this host does not use after failures. */
import type { Milliseconds } from "../../util/units.ts";
import { hallGauge } from "../observe/hall_gauge.ts";
import type { LabelledGauge } from "../observe/metrics.ts";
import type { ReplicaTable } from "./replica_table.ts";

/** The number of paused replicas by data hall. */
export function pausedReplicasGauge(
  replicas: Pick<ReplicaTable, "entries" | "get">,
  now: Milliseconds,
): LabelledGauge {
  const items = replicas.entries().map(({ hall, incarnation }) => {
    const isPaused = replicas.get(incarnation)?.isPaused(now) ?? false;
    return { hall, value: isPaused ? 1 : 0 };
  });
  return hallGauge("replicas_paused", items);
}
