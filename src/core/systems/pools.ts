/**
 * Pools: the upstreams of one service that one planner places requests on. A
 * service with many upstreams is divided into several pools, so that its
 * planning is spread over several hosts.
 */
import type { PoolId, ServiceId } from "../../util/ids.ts";
import type { Request } from "../tables/requests.ts";
import type { Upstream } from "../tables/upstreams.ts";
import { rendezvous } from "../../util/rendezvous.ts";
import type { World } from "../world.ts";

/** Divides the upstreams of this region into pools, alike on every host. */
export function dividePools(world: World): void {
  world.pools.clear();
  world.services.clear();
  for (const [service, upstreams] of upstreamsByService(world)) {
    divideService(world, service, upstreams);
  }
}

function upstreamsByService(world: World): Map<ServiceId, Upstream[]> {
  const services = new Map<ServiceId, Upstream[]>();
  for (const upstream of world.upstreams.values()) {
    if (upstream.region !== world.self.region) continue;
    const its = services.get(upstream.service) ?? [];
    its.push(upstream);
    services.set(upstream.service, its);
  }
  return services;
}

/** Each pool gets its part of every listed role. */
function divideService(
  world: World,
  service: ServiceId,
  upstreams: readonly Upstream[],
): void {
  const count = Math.ceil(upstreams.length / world.options.poolUpstreams);
  const placed = new Map<string, number>();
  const byName = [...upstreams].sort((a, b) => a.id < b.id ? -1 : 1);
  for (const upstream of byName) {
    const number = placed.get(upstream.listedRole) ?? 0;
    placed.set(upstream.listedRole, number + 1);
    upstream.pool = poolId(service, number % count, count);
    const pool = world.pools.get(upstream.pool) ?? [];
    pool.push(upstream);
    world.pools.set(upstream.pool, pool);
  }
  const pools = Array.from(
    { length: count },
    (_, n) => poolId(service, n, count),
  );
  world.services.set(service, pools);
}

function poolId(service: ServiceId, number: number, count: number): PoolId {
  return count === 1 ? service : `${service}#${number}`;
}

/**
 * The pool to ask next: by the prompt's first block, so that what shares a
 * prefix meets; undefined when all have refused.
 */
export function nextPool(world: World, request: Request): PoolId | undefined {
  const { service, prefixes } = request.call;
  const pools = world.services.get(service) ?? [];
  if (pools.length === 1) {
    const [only] = pools;
    return only && request.refusedBy.includes(only) ? undefined : only;
  }
  const key = prefixes[0] === undefined ? request.id : String(prefixes[0]);
  return rendezvous(`pool/${key}`, pools)
    .find((pool) => !request.refusedBy.includes(pool));
}
