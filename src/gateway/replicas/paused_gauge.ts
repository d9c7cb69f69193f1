/** Metric of the replicas that this host does not use after failures. */
import type { Milliseconds } from "../../util/units.ts";
import type { LabelledGauge } from "../observe/metrics.ts";
import type { ReplicaTable } from "./replica_table.ts";

/** The number of paused replicas by data hall. */
export function pausedReplicasGauge(
  replicas: Pick<ReplicaTable, "entries" | "get">,
  now: Milliseconds,
): LabelledGauge {
  const byHall = new Map<string, number>();
  for (const { hall, incarnation } of replicas.entries()) {
    const isPaused = replicas.get(incarnation)?.isPaused(now) ?? false;
    byHall.set(hall, (byHall.get(hall) ?? 0) + (isPaused ? 1 : 0));
  }
  return {
    name: "replicas_paused",
    values: [...byHall].map(([hall, value]) => ({ labels: { hall }, value })),
  };
}
