/** Disruptions of hosts and changes of replicas, with times drawn at random. */
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import type { FleetHost } from "./fleet.ts";
import { restartInPlace } from "./restart_in_place.ts";
import { sleep } from "./sleep.ts";
import { waitUntilServing } from "./test_fleet.ts";
import type { World, WorldReplica } from "./world.ts";

const MIN_RESTART_MS = 200;
const RESTART_RANGE_MS = 1500;
const MIN_FREEZE_MS = 300;
const FREEZE_RANGE_MS = 4000;
const MIN_LEAVE_MS = 100;
const LEAVE_RANGE_MS = 1200;
const MAX_CRASHES = 3;
/** How long replicas that were unlisted go on. */
const UNLISTED_MS = 6000;
/** Streams run for 1.6 s. */
const SLOWDOWN = 2;

/** Hosts and replicas under disruption. */
export type DisruptedFleet = {
  readonly world: World;
  readonly hosts: readonly FleetHost[];
  readonly random: RandomGenerator;
};

/** Changes the replicas or disrupts the hosts; resolves once that is over. */
export type Disruption = (fleet: DisruptedFleet) => Promise<void>;

/** What becomes of the replicas. */
export const REPLICA_CHANGES: Readonly<Record<string, Disruption>> = {
  "no change": () => Promise.resolve(),
  "a version joins": addVersion,
  "a version joins, the first is unlisted": async (fleet) => {
    await addVersion(fleet);
    await unlistFirst(fleet);
  },
  "a version replaces the first, which ends early": async (fleet) => {
    await addVersion(fleet);
    await leaveEarly(fleet, firstVersion(fleet.world));
  },
  "replicas crash": async ({ world, random }) => {
    for (let count = 0; count < MAX_CRASHES; count++) {
      const decode = decodeReplicas(world);
      const replica = decode[randomInt(random, decode.length)];
      if (replica) await world.crash(replica);
      slowDown(world);
      await sleep(randomInt(random, RESTART_RANGE_MS));
    }
  },
  "replicas restart at their addresses at another version": async (fleet) => {
    versions += 1;
    const softwareVersion = `v${1 + versions}`;
    for (const replica of decodeReplicas(fleet.world)) {
      await restartInPlace(fleet.world, replica, softwareVersion);
      await sleep(randomInt(fleet.random, RESTART_RANGE_MS));
    }
  },
  "a replica leaves and ends early": async (fleet) => {
    const { world, random } = fleet;
    const decode = decodeReplicas(world);
    const replica = decode[randomInt(random, decode.length)];
    if (!replica) return;
    await world.addReplica("decode", replica.hall, replica);
    slowDown(world);
    await endDraining(fleet, replica);
  },
};

/** What becomes of the hosts. */
export const HOST_DISRUPTIONS: Readonly<Record<string, Disruption>> = {
  "no host is disrupted": () => Promise.resolve(),
  "one is killed": (fleet) => restart(fleet, { count: 1, signal: "kill" }),
  "a third is killed": (fleet) =>
    restart(fleet, { count: fleet.hosts.length / 3, signal: "kill" }),
  "all but one are killed": (fleet) =>
    restart(fleet, { count: fleet.hosts.length - 1, signal: "kill" }),
  "all are killed": (fleet) =>
    restart(fleet, { count: fleet.hosts.length, signal: "kill" }),
  "all are killed one by one": (fleet) => restartEach(fleet, "kill"),
  "all are stopped one by one": (fleet) => restartEach(fleet, "stop"),
  "one is frozen": (fleet) => freeze(fleet, 1),
  "half are frozen": (fleet) => freeze(fleet, fleet.hosts.length / 2),
  "connections to replicas are reset": ({ world }) => {
    for (const { proxy } of world.replicas) proxy.reset(() => true);
    return Promise.resolve();
  },
  "connections between hosts are reset": async ({ hosts, random }) => {
    for (const { peerProxy } of hosts) {
      peerProxy.reset(() => true);
      await sleep(randomInt(random, 100));
    }
  },
};

let versions = 0;

async function addVersion({ world }: DisruptedFleet): Promise<void> {
  versions += 1;
  await world.addEngine(`v${1 + versions}`);
  slowDown(world);
  await sleep(1);
}

/** Makes the streams of all replicas longer. */
export function slowDown(world: World): void {
  for (const { standin } of world.replicas) standin.slowdown = SLOWDOWN;
}

function decodeReplicas(world: World): WorldReplica[] {
  return world.readyReplicas().filter(({ standin }) =>
    standin.role === "decode"
  );
}

/** Replicas of the model engine with the version that has served longest. */
function firstVersion(world: World): WorldReplica[] {
  const engine = world.readyReplicas().filter(({ standin }) =>
    standin.role !== "plain"
  );
  const [first] = engine;
  return engine.filter(({ softwareVersion }) =>
    softwareVersion === first?.softwareVersion
  );
}

/** Removes entries; their replicas go on for a while. */
async function unlistFirst({ world, random }: DisruptedFleet): Promise<void> {
  await sleep(randomInt(random, RESTART_RANGE_MS));
  for (const replica of firstVersion(world)) {
    replica.isReady = false;
    world.store.remove("servers", replica.standin.id);
    setTimeout(() => end(replica), UNLISTED_MS).unref();
  }
}

async function leaveEarly(
  fleet: DisruptedFleet,
  replicas: readonly WorldReplica[],
): Promise<void> {
  await sleep(randomInt(fleet.random, RESTART_RANGE_MS));
  await Promise.all(replicas.map((replica) => endDraining(fleet, replica)));
}

/** A draining replica ends before its streams do. */
async function endDraining(
  { world, random }: DisruptedFleet,
  replica: WorldReplica,
): Promise<void> {
  world.retire(replica);
  await sleep(MIN_LEAVE_MS + randomInt(random, LEAVE_RANGE_MS));
  end(replica);
}

function end({ standin, proxy }: WorldReplica): void {
  standin.crash();
  proxy.stop();
}

/** Draws different hosts. */
function drawHosts(
  { hosts, random }: DisruptedFleet,
  count: number,
): FleetHost[] {
  const first = randomInt(random, hosts.length);
  return [...hosts.slice(first), ...hosts.slice(0, first)].slice(0, count);
}

async function restart(
  fleet: DisruptedFleet,
  { count, signal }: {
    readonly count: number;
    readonly signal: "kill" | "stop";
  },
): Promise<void> {
  await Promise.all(
    drawHosts(fleet, count).map(async ({ process }) => {
      await process[signal]();
      await sleep(MIN_RESTART_MS + randomInt(fleet.random, RESTART_RANGE_MS));
      process.start();
    }),
  );
}

async function restartEach(
  fleet: DisruptedFleet,
  signal: "kill" | "stop",
): Promise<void> {
  for (const host of drawHosts(fleet, fleet.hosts.length)) {
    await host.process[signal]();
    await sleep(MIN_RESTART_MS);
    host.process.start();
    await waitUntilServing(host, fleet.world.version);
  }
}

async function freeze(fleet: DisruptedFleet, count: number): Promise<void> {
  const frozen = drawHosts(fleet, count);
  for (const { process } of frozen) process.pause();
  await sleep(MIN_FREEZE_MS + randomInt(fleet.random, FREEZE_RANGE_MS));
  for (const { process } of frozen) process.resume();
}
