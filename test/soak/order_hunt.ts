/**
 * Plays disruptions of hosts beside releases and ends of replicas, while callers
 * send streams and resume them at any host, and checks the events that callers
 * get. Disruptions and their times are drawn from a seed.
 */
import { Agent } from "node:http";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { RandomGenerator } from "pure-rand";
import { randomInt } from "../../src/util/random.ts";
import { CallKind, callOnce, type CallResult } from "./call.ts";
import { mixedGenerator } from "./draw_faults.ts";
import { createHosts, stopHosts } from "./fleet.ts";
import {
  type DisruptedFleet,
  type Disruption,
  HOST_DISRUPTIONS,
  REPLICA_CHANGES,
  slowDown,
} from "./order_disruptions.ts";
import { hasEvents } from "./resumptions.ts";
import { sleep } from "./sleep.ts";
import {
  type DisorderedStream,
  findDisorderedStreams,
  findNextAttempt,
} from "./stream_order.ts";
import { waitUntilServing } from "./test_fleet.ts";
import { World } from "./world.ts";
import { EVEN_LOAD } from "./world_config.ts";

const HOSTS = 6;
const CALLERS = 36;
/** The time over which callers begin, about that of one stream. */
const CALLERS_START_MS = 2000;
const WARM_UP_MS = 3000;
/** From then on hosts know all versions by themselves. */
const WINDOW_MS = 61_000;
const UNFRAMED_PERCENT = 50;
const STREAM_ONE_IN = 5;
const ABORT_ONE_IN = 12;
const PAUSE_MS = 100;
const MAX_ATTEMPTS = 8;
const RETRY_PAUSE_MS = 100;
const RETRY_PAUSE_RANGE_MS = 1500;
const SETTLE_MS = 3000;
/** Between the change of the replicas and the disruption of the hosts. */
const MIN_GAP_MS = -500;
const GAP_RANGE_MS = 3500;
const ROUNDS = 2;

/** The outcome of {@link huntOrder}. */
export type OrderHunt = {
  readonly seed: number;
  /** What was played in each round. */
  readonly rounds: readonly string[];
  readonly streams: number;
  readonly resumed: number;
  readonly wentOn: number;
  readonly disordered: readonly DisorderedStream[];
  /** Logs of the hosts; deleted if no stream is out of order. */
  readonly folder: string;
};

/** Options of {@link huntOrder}. */
export type OrderHuntOptions = {
  readonly seed: number;
  /** Whether hosts run for the whole window before the first disruption. */
  readonly isCovered?: boolean;
  readonly rounds?: number;
  /** What is played instead of drawn disruptions. */
  readonly plan?: RoundPlan;
};

/** Names of what is played in a round; drawn if absent. */
export type RoundPlan = {
  readonly change?: string;
  readonly disruption?: string;
};

/** Plays one seed. */
export async function huntOrder(
  { seed, isCovered = false, rounds = ROUNDS, plan = {} }: OrderHuntOptions,
): Promise<OrderHunt> {
  const random = mixedGenerator(seed);
  const folder = mkdtempSync(join(tmpdir(), "otterhill-order-"));
  const framing = { seed, unframedPercent: UNFRAMED_PERCENT };
  const world = await World.start({ ...EVEN_LOAD, framing });
  const storeAddress = world.store.address;
  const hosts = await createHosts(HOSTS, { folder, storeAddress });
  const fleet = { world, hosts, random };
  const calls: CallResult[] = [];
  const played: string[] = [];
  let isStopped = false;
  let disordered: DisorderedStream[] = [];
  try {
    slowDown(world);
    for (const { process } of hosts) process.start();
    for (const host of hosts) await waitUntilServing(host, world.version);
    const callers = Array.from({ length: CALLERS }, async (_, at) => {
      await sleep(at * CALLERS_START_MS / CALLERS);
      await runCaller(fleet, {
        name: `c${at}`,
        random: mixedGenerator(seed * CALLERS + at),
        isStopped: () => isStopped,
        onResult: (result) => calls.push(result),
      });
    });
    await sleep(isCovered ? WINDOW_MS : WARM_UP_MS);
    for (let round = 0; round < rounds; round++) {
      played.push(await playRound(fleet, plan));
    }
    isStopped = true;
    await Promise.all(callers);
    disordered = findDisorderedStreams(calls);
  } finally {
    isStopped = true;
    await stopHosts(hosts);
    world.stop();
  }
  if (disordered.length === 0) rmSync(folder, { recursive: true });
  const resumed = calls.filter(({ resumption }) => resumption);
  return {
    seed,
    rounds: played,
    streams: calls.length - resumed.length,
    resumed: resumed.length,
    wentOn: resumed.filter(hasEvents).length,
    disordered,
    folder,
  };
}

type OrderCaller = {
  readonly name: string;
  readonly random: RandomGenerator;
  isStopped(): boolean;
  onResult(result: CallResult): void;
};

/** Sends one stream after the other. */
async function runCaller(
  fleet: DisruptedFleet,
  caller: OrderCaller,
): Promise<void> {
  for (let count = 0; !caller.isStopped(); count++) {
    await playStream(fleet, { ...caller, name: `${caller.name}-${count}` });
    await sleep(PAUSE_MS);
  }
}

/** Sends a stream, and resumes it at any host until it has ended. */
async function playStream(
  { hosts }: DisruptedFleet,
  { name, random, onResult }: OrderCaller,
): Promise<void> {
  const isResumable = randomInt(random, STREAM_ONE_IN) !== 0;
  const kind = isResumable ? CallKind.resumable : CallKind.stream;
  let previous: CallResult | undefined;
  for (let count = 0; count < MAX_ATTEMPTS; count++) {
    const host = hosts[randomInt(random, hosts.length)];
    const resumption = previous && findNextAttempt(previous);
    if (!host || previous && !resumption) return;
    const agent = new Agent();
    previous = await callOnce({
      agent,
      host: { name: host.process.name, address: host.callers },
      id: `${name}-${count}`,
      kind,
      body: "body",
      abortsEarly: randomInt(random, ABORT_ONE_IN) === 0,
      ...(resumption && { resumption }),
    });
    agent.destroy();
    onResult(previous);
    await sleep(RETRY_PAUSE_MS + randomInt(random, RETRY_PAUSE_RANGE_MS));
  }
}

async function playRound(
  fleet: DisruptedFleet,
  plan: RoundPlan,
): Promise<string> {
  const { world, hosts, random } = fleet;
  const [releaseName, change] = draw(random, REPLICA_CHANGES, plan.change);
  const [hostName, disrupt] = draw(random, HOST_DISRUPTIONS, plan.disruption);
  const gapMs = MIN_GAP_MS + randomInt(random, GAP_RANGE_MS);
  await Promise.all([
    sleep(Math.max(0, -gapMs)).then(() => change(fleet)),
    sleep(Math.max(0, gapMs)).then(() => disrupt(fleet)),
  ]);
  for (const { process } of hosts) process.start();
  for (const host of hosts) await waitUntilServing(host, world.version);
  await sleep(SETTLE_MS);
  return `${releaseName}, ${gapMs} ms, ${hostName}`;
}

function draw(
  random: RandomGenerator,
  from: Readonly<Record<string, Disruption>>,
  chosen: string | undefined,
): [string, Disruption] {
  const names = Object.keys(from);
  const drawn = names[randomInt(random, names.length)] ?? "";
  const name = chosen ?? drawn;
  const disruption = from[name];
  if (!disruption) throw new Error(`There is no disruption "${name}"`);
  return [name, disruption];
}
