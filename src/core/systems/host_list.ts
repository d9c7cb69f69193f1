/** The platform's list of hosts and upstreams, also passed on by peers. */
import type { Milliseconds } from "../../util/units.ts";
import type { HostList, ListEntry } from "../../messages/peer.ts";
import { Role, type Upstream } from "../tables/upstreams.ts";
import { createLineFit } from "../../util/line_fit.ts";
import { jitter } from "../../util/random.ts";
import { order, type World } from "../world.ts";
import { dividePools } from "./pools.ts";

/** Reads the platform's host list when the time has come. */
export function pollHosts(world: World, now: Milliseconds): void {
  if (now < world.schedule.list) return;
  const span = world.options.listPollMs;
  world.schedule.list = now + jitter(world.random, span);
  order(world, { type: "readHosts" });
}

/** Takes a host list unless a newer one is known. */
export function adoptHostList(
  world: World,
  list: HostList,
  now: Milliseconds,
): void {
  const first = world.list.entries.length === 0;
  if (list.revision <= world.list.revision && !first) return;
  world.list = list;
  adoptHosts(world, list.entries, now);
  adoptUpstreams(world, list.entries);
  world.view.until = 0;
}

function adoptHosts(
  world: World,
  entries: readonly ListEntry[],
  now: Milliseconds,
): void {
  const listed = entries.filter((one) => one.kind === "entry");
  const names = new Set(listed.map((one) => one.id));
  for (const id of world.hosts.keys()) {
    if (!names.has(id)) world.hosts.delete(id);
  }
  for (const entry of listed) {
    const known = world.hosts.get(entry.id);
    world.hosts.set(entry.id, {
      id: entry.id,
      hall: entry.hall,
      region: entry.region,
      address: entry.address,
      incarnation: known?.incarnation ?? 0,
      counter: known?.counter ?? 0,
      heardAt: known?.heardAt ?? now,
      suspectUntil: known?.suspectUntil ?? 0,
      leaving: entry.leaving,
    });
  }
}

function adoptUpstreams(world: World, entries: readonly ListEntry[]): void {
  const listed = entries.filter((one) => one.kind === "upstream");
  const names = new Set(listed.map((one) => one.id));
  for (const id of world.upstreams.keys()) {
    if (!names.has(id)) world.upstreams.delete(id);
  }
  for (const entry of listed) adoptUpstream(world, entry);
  dividePools(world);
}

function adoptUpstream(world: World, entry: ListEntry): void {
  const known = world.upstreams.get(entry.id);
  if (known) {
    known.address = entry.address;
    known.checksOrders = entry.checksOrders;
    known.leaving = entry.leaving;
    return;
  }
  world.upstreams.set(entry.id, newUpstream(entry));
}

function newUpstream(entry: ListEntry): Upstream {
  return {
    id: entry.id,
    hall: entry.hall,
    region: entry.region,
    service: entry.service,
    pool: entry.service,
    listedRole: roleOf(entry.role),
    role: roleOf(entry.role),
    address: entry.address,
    checksOrders: entry.checksOrders,
    leaving: entry.leaving,
    slots: entry.slots,
    prefillRate: entry.prefillRate,
    cacheTokens: entry.cacheTokens,
    reportedAt: -Infinity,
    step: createLineFit(),
    prefixes: new Map(),
    cacheSequence: 0,
    cacheTrust: 1,
    polledAt: -Infinity,
    pollingSince: -Infinity,
    nextLoadAt: 0,
    nextCacheAt: 0,
    nextSweepAt: 0,
  };
}

function roleOf(word: string): Role {
  if (word === Role.prefill || word === Role.decode) return word;
  return Role.plain;
}
