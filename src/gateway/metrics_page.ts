/** The metrics of a gateway as one page. */
import type { GatewayContext } from "./context.ts";
import { HeldFor } from "./memory/byte_budget.ts";
import { lostPathsGauge } from "./paths/lost_paths_gauge.ts";
import type { TunnelServer } from "./paths/tunnel_server.ts";
import type { PlanService } from "./planning/plan_service.ts";
import { revisionOf } from "./position.ts";
import { pausedReplicasGauge } from "./replicas/paused_gauge.ts";
import type { SettingsState } from "./settings_state.ts";
import type { SplitDecision } from "./stages/measured_balance.ts";
import { splitGauges } from "./stages/split_report.ts";
import type { FleetState } from "./state/fleet_state.ts";

/** The parts of a gateway whose state is measured. */
export type MeasuredParts = {
  readonly settingsState: SettingsState;
  readonly splits: readonly SplitDecision[];
  readonly openRequests: number;
  readonly callerConnections: number;
  readonly quotaCustomers: number;
  readonly planService: PlanService;
  readonly fleetState: Pick<FleetState, "storeAgeMs" | "configAgeMs">;
  readonly tunnels: Pick<TunnelServer, "size">;
};

/** Renders all metrics in the Prometheus text format. */
export function renderMetrics(
  context: GatewayContext,
  parts: MeasuredParts,
): string {
  const { metrics, replicas, clock, paths } = context;
  const { settingsState, planService } = parts;
  const labelled = [
    ...planService.gauges(),
    pausedReplicasGauge(replicas, clock.now()),
    lostPathsGauge(paths.monitor),
  ];
  const info = { settings: settingsState.version };
  return metrics.render(gaugesOf(context, parts), info, labelled);
}

function gaugesOf(
  context: GatewayContext,
  parts: MeasuredParts,
): Record<string, number> {
  const { heldBytes, routes, replicas, eras, crashes, limits, gate } = context;
  const { streams, iterations } = context;
  const { settingsState, planService, fleetState } = parts;
  const now = context.clock.now();
  return {
    ...settingsState.gauges(now),
    ...splitGauges(parts.splits),
    held_bytes_bodies: heldBytes.heldFor(HeldFor.bodies),
    held_bytes_heads: heldBytes.heldFor(HeldFor.heads),
    held_bytes_answers: heldBytes.heldFor(HeldFor.answers),
    requests_open: parts.openRequests,
    caller_connections: parts.callerConnections,
    quota_customers: parts.quotaCustomers,
    memory_waits: planService.waiting,
    memory_tokens_running: planService.memoryByUse.running,
    memory_tokens_reserved: planService.memoryByUse.reserved,
    routes_version: routes.version,
    replicas_revision: revisionOf(replicas.revision),
    store_era: eras.era,
    hosts_known: context.hostCount(),
    tunnels_carried: parts.tunnels.size,
    crash_suspects: crashes.suspects,
    crash_quarantined: crashes.quarantined,
    replicas_limited: limits.limited,
    replicas_backing_off: gate.backingOff,
    stream_records: streams.size,
    config_age_seconds: secondsOf(fleetState.configAgeMs(now)),
    store_age_seconds: secondsOf(fleetState.storeAgeMs(now)),
    loop_delay_seconds: iterations.takeLongestMs() / 1000,
    loop_busy_seconds: iterations.busyMs / 1000,
    resident_bytes: process.memoryUsage.rss(),
  };
}

/** An age in seconds; -1 if it is not known. */
function secondsOf(ageMs: number): number {
  return Number.isFinite(ageMs) ? ageMs / 1000 : -1;
}
