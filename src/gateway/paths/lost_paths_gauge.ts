/** Metric of the replicas that this host does not reach itself. */
import type { LabelledGauge } from "../observe/metrics.ts";
import type { PathMonitor } from "./path_monitor.ts";

/** The number of lost paths by data hall of the replica. */
export function lostPathsGauge(
  { lost }: Pick<PathMonitor, "lost">,
): LabelledGauge {
  const byHall = new Map<string, number>();
  for (const { hall } of lost) byHall.set(hall, (byHall.get(hall) ?? 0) + 1);
  return {
    name: "paths_lost",
    values: [...byHall].map(([hall, value]) => ({ labels: { hall }, value })),
  };
}
