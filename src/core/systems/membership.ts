/** Who is live: a gossip of heartbeat counters within the region. */
import type { HostId, PoolId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { Gossip, Heartbeat } from "../../messages/peer.ts";
import type { Host } from "../tables/hosts.ts";
import { jitter, randomInt } from "../../util/random.ts";
import { rendezvous } from "../../util/rendezvous.ts";
import { log, type World } from "../world.ts";
import { tell } from "./peers.ts";
import { passSettings, pullSettings } from "./settings.ts";

/** The view is worked out again at least this often. */
const VIEW_MS = 100;
/** One gossip in so many goes to another region. */
const OTHER_REGION_TURN = 5;

/** Tells a few peers which heartbeats this host has seen. */
export function gossip(world: World, now: Milliseconds): void {
  if (now < world.schedule.gossip) return;
  const span = world.options.gossipMs;
  world.schedule.gossip = now + jitter(world.random, span);
  const self = selfRow(world, now);
  if (!self) return;
  self.counter += 1;
  self.heardAt = now;
  for (const peer of gossipPeers(world)) {
    tell(world, peer, { $case: "gossip", value: digest(world, false) });
  }
}

/** This host's own row, made when the list is late. */
function selfRow(world: World, now: Milliseconds): Host | undefined {
  const { id, hall, region, incarnation } = world.self;
  const known = world.hosts.get(id);
  const row = known ?? {
    id,
    hall,
    region,
    address: "",
    incarnation,
    counter: 0,
    heardAt: now,
    suspectUntil: 0,
    leaving: false,
  };
  row.incarnation = incarnation;
  row.leaving = row.leaving || world.stopping;
  world.hosts.set(id, row);
  return row;
}

function gossipPeers(world: World): HostId[] {
  const others = [...world.hosts.values()]
    .filter((one) => one.id !== world.self.id);
  const near = others.filter((one) => one.region === world.self.region);
  const far = others.filter((one) => one.region !== world.self.region);
  const peers = drawSome(world, near, world.options.gossipFanout);
  if (far.length > 0 && randomInt(world.random, OTHER_REGION_TURN) === 0) {
    peers.push(...drawSome(world, far, 1));
  }
  return peers.map((one) => one.id);
}

function drawSome(world: World, from: readonly Host[], most: number): Host[] {
  const left = [...from];
  const drawn: Host[] = [];
  while (left.length > 0 && drawn.length < most) {
    drawn.push(...left.splice(randomInt(world.random, left.length), 1));
  }
  return drawn;
}

function digest(world: World, answer: boolean): Gossip {
  const heartbeats: Heartbeat[] = [];
  for (const host of world.hosts.values()) {
    if (host.region !== world.self.region || host.incarnation === 0) continue;
    const { id, incarnation, counter, leaving } = host;
    heartbeats.push({ host: id, incarnation, counter, leaving });
  }
  return {
    heartbeats,
    settingsVersion: world.settings.version,
    listRevision: world.list.revision,
    answer,
  };
}

/** Takes a peer's digest and evens out what either side lacks. */
export function takeGossip(
  world: World,
  from: HostId,
  message: Gossip,
  now: Milliseconds,
): void {
  for (const heartbeat of message.heartbeats) {
    takeHeartbeat(world, heartbeat, now);
  }
  const ours = world.settings.version;
  const theirs = message.settingsVersion;
  if (theirs > ours) pullSettings(world, from);
  if (theirs < ours) passSettings(world, from, theirs);
  if (message.listRevision < world.list.revision) {
    tell(world, from, { $case: "hostList", value: world.list });
  }
  if (message.answer) return;
  tell(world, from, { $case: "gossip", value: digest(world, true) });
}

function takeHeartbeat(
  world: World,
  heartbeat: Heartbeat,
  now: Milliseconds,
): void {
  const host = world.hosts.get(heartbeat.host);
  if (!host || host.id === world.self.id) return;
  const newer = heartbeat.incarnation > host.incarnation ||
    (heartbeat.incarnation === host.incarnation &&
      heartbeat.counter > host.counter);
  if (!newer) return;
  const restarted = heartbeat.incarnation > host.incarnation;
  host.incarnation = heartbeat.incarnation;
  host.counter = heartbeat.counter;
  host.heardAt = now;
  if (heartbeat.leaving && !host.leaving) world.view.until = 0;
  host.leaving = heartbeat.leaving;
  if (!restarted) return;
  host.suspectUntil = 0;
  world.view.until = 0;
}

/** Passes over a peer that did not answer. */
export function suspectPeer(
  world: World,
  peer: HostId,
  now: Milliseconds,
): void {
  const host = world.hosts.get(peer);
  if (!host || host.suspectUntil > now) return;
  host.suspectUntil = now + world.options.suspectMs;
  world.view.until = 0;
  log(world, {
    part: "membership",
    sentence: "A peer did not answer and is passed over",
    fields: { peer },
  });
}

/** A peer that answers directly is no longer passed over. */
export function clearSuspicion(world: World, peer: HostId): void {
  const host = world.hosts.get(peer);
  if (!host || host.suspectUntil === 0) return;
  host.suspectUntil = 0;
  world.view.until = 0;
}

/** Whether a host has been heard of lately and takes part. */
export function isLive(
  world: World,
  host: Host,
  now: Milliseconds,
): boolean {
  if (host.id === world.self.id) return !world.stopping;
  if (host.incarnation === 0 || host.leaving) return false;
  if (host.suspectUntil > now) return false;
  return now - host.heardAt < world.options.hostTimeoutMs;
}

/** The live hosts of this region, this one included. */
export function liveHosts(world: World, now: Milliseconds): HostId[] {
  refreshView(world, now);
  return world.view.live;
}

/** The host that plans a pool, as this host sees it. */
export function plannerOf(
  world: World,
  pool: PoolId,
  now: Milliseconds,
): HostId {
  if (world.options.planAlone) return world.self.id;
  refreshView(world, now);
  const known = world.view.planners.get(pool);
  if (known !== undefined) return known;
  const best = rendezvous(`plan/${pool}`, world.view.live)[0];
  const planner = best ?? world.self.id;
  world.view.planners.set(pool, planner);
  return planner;
}

function refreshView(world: World, now: Milliseconds): void {
  if (now < world.view.until) return;
  const live: HostId[] = [];
  for (const host of world.hosts.values()) {
    if (host.region !== world.self.region) continue;
    if (isLive(world, host, now)) live.push(host.id);
  }
  world.view.live = live;
  world.view.until = now + VIEW_MS;
  world.view.planners.clear();
}
