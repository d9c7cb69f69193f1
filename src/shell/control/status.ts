/** Reports the status of an entry host and of its view of the fleet. */
import { Role, type World } from "../../core/mod.ts";
import { accepting, isLive, plannerOf } from "../../core/mod.ts";
import type {
  HostStatus,
  Status,
  UpstreamStatus,
} from "../../messages/control.ts";

export function statusOf(world: World, now: number): Status {
  const { self, settings, list } = world;
  return {
    host: self.id,
    hall: self.hall,
    region: self.region,
    incarnation: self.incarnation,
    settingsVersion: settings.version,
    listRevision: list.revision,
    platformAnswers: world.platformOkAt >= world.platformLostAt,
    stopping: world.stopping,
    requests: world.requests.size,
    hosts: hostsOf(world, now),
    upstreams: upstreamsOf(world, now),
    counters: [...world.counters].map(([name, value]) => ({ name, value })),
    rejectedRows: [...settings.rejected.keys()],
  };
}

function hostsOf(world: World, now: number): HostStatus[] {
  return [...world.hosts.values()].map((host) => ({
    id: host.id,
    hall: host.hall,
    live: isLive(world, host, now),
    leaving: host.leaving,
    incarnation: host.incarnation,
    silentMs: now - host.heardAt,
  }));
}

function upstreamsOf(world: World, now: number): UpstreamStatus[] {
  return [...world.upstreams.values()].map((upstream) => ({
    id: upstream.id,
    hall: upstream.hall,
    service: upstream.service,
    role: upstream.role || Role.plain,
    planner: plannerOf(world, upstream.pool, now),
    accepting: accepting(world, upstream.id),
    stopPlanned: world.settings.stops.has(upstream.id),
    reportedMs: Number.isFinite(upstream.reportedAt)
      ? now - upstream.reportedAt
      : -1,
    running: upstream.report?.running ?? 0,
    held: world.plans.occupancy.get(upstream.id)?.held ?? 0,
    slots: upstream.slots,
  }));
}
