/** Metrics in the Prometheus text exposition format. */
import type { World } from "../../core/mod.ts";

/** Options of {@link metricsPage}. */
export type MetricsOptions = {
  readonly world: World;
  readonly openCalls: number;
};

/** Returns the content of the metrics page. */
export function metricsPage({ world, openCalls }: MetricsOptions): string {
  const lines: string[] = [];
  for (const [name, value] of world.counters) {
    lines.push(`# TYPE otterhill_${name}_total counter`);
    lines.push(`otterhill_${name}_total ${value}`);
  }
  const gauges = {
    requests_open: world.requests.size,
    calls_open: openCalls,
    cancels_waiting: world.releases.size,
    grants_held: world.plans.grants.size,
    settings_version: world.settings.version,
    hosts_live: world.view.live.length,
    resident_bytes: process.memoryUsage.rss(),
  };
  for (const [name, value] of Object.entries(gauges)) {
    lines.push(`# TYPE otterhill_${name} gauge`);
    lines.push(`otterhill_${name} ${value}`);
  }
  return `${lines.join("\n")}\n`;
}
