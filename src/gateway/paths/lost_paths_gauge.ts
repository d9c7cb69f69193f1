/** Metric of the replicas that this host does not reach itself. */
import { hallGauge } from "../observe/hall_gauge.ts";
import type { LabelledGauge } from "../observe/metrics.ts";
import type { PathMonitor } from "./path_monitor.ts";

/** The number of lost paths by data hall of the replica. */
export function lostPathsGauge(
  { lost }: Pick<PathMonitor, "lost">,
): LabelledGauge {
  return hallGauge("paths_lost", lost.map(({ hall }) => ({ hall, value: 1 })));
}
