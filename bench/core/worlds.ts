/** Creates core worlds and messages of a given size. */
import {
  createWorld,
  type Event,
  type ListEntry,
  type PeerMessage,
  step,
  type World,
} from "../../src/core/mod.ts";
import { seedRows } from "../../test/fake/seed_rows.ts";

/** The size of a fleet. */
export type Size = {
  readonly hosts: number;
  /** The total number of upstreams. */
  readonly upstreams: number;
  readonly perService: number;
};

const REGION = "r";
/** More upstreams than any service has, so that each service is one pool. */
const MAX_POOL_UPSTREAMS = 1000;

function listEntry(values: Partial<ListEntry>): ListEntry {
  return {
    id: "",
    kind: "entry",
    hall: "hall-1",
    region: REGION,
    address: "127.0.0.1:1",
    service: "",
    role: "",
    leaving: false,
    checksOrders: true,
    slots: 48,
    prefillRate: 20_000,
    cacheTokens: 200_000,
    ...values,
  };
}

/** Returns the host list of a fleet. */
export function entriesOf(size: Size): ListEntry[] {
  const hosts = Array.from(
    { length: size.hosts },
    (_, n) => listEntry({ id: `host-${n}` }),
  );
  const upstreams = Array.from({ length: size.upstreams }, (_, n) =>
    listEntry({
      id: `upstream-${n}`,
      kind: "upstream",
      service: `model-${Math.floor(n / size.perService)}`,
      role: n % 2 === 0 ? "prefill" : "decode",
    }));
  return [...hosts, ...upstreams];
}

/** Creates the world of host-0 with the full host list and the settings. */
export function createWorldOfSize(size: Size): World {
  const world = createWorld({
    self: { id: "host-0", hall: "hall-1", region: REGION, incarnation: 1 },
    seed: 1,
    options: { poolUpstreams: MAX_POOL_UPSTREAMS },
  });
  const list = { revision: 1, entries: entriesOf(size) };
  step(world, [{ type: "hostList", list }], 1);
  step(world, [peerEvent("host-1", gossipMessage(size))], 1);
  const rows = seedRows().map((row, n) => ({
    key: row.key,
    version: n + 1,
    value: row.value ?? "",
  }));
  const value = { after: 0, upTo: rows.length, rows };
  const message: PeerMessage = { kind: { $case: "settingsRows", value } };
  step(world, [peerEvent("host-1", message)], 1);
  return world;
}

/** Returns the event of a message from a peer. */
export function peerEvent(from: string, message: PeerMessage): Event {
  return { type: "peerMessage", from, incarnation: 1, message };
}

/** Returns a gossip message with heartbeats of all hosts. */
export function gossipMessage(size: Size, counter = 1): PeerMessage {
  const heartbeats = Array.from({ length: size.hosts }, (_, n) => ({
    host: `host-${n}`,
    incarnation: 1_764_668_491_000 + n,
    counter,
    leaving: false,
  }));
  const value = {
    heartbeats,
    settingsVersion: 4,
    listRevision: 1,
    answer: true,
  };
  return { kind: { $case: "gossip", value } };
}

/** Returns load reports of all upstreams of a service. */
export function loadReports(world: World, service: string): Event[] {
  return (world.pools.get(service) ?? []).map((upstream) => ({
    type: "loadReport",
    upstream: upstream.id,
    report: {
      running: 10,
      slots: 48,
      prefillQueueTokens: 0,
      prefillRate: 20_000,
      stepMs: 20,
      draining: false,
      epoch: 1,
    },
  }));
}

/** Returns a plan request for a prompt of 8,192 tokens with 32 block hashes. */
export function samplePlanRequest(request: string, pool: string): PeerMessage {
  const value = {
    request,
    pool,
    customer: "armor",
    promptTokens: 8192,
    prefixes: Array.from({ length: 32 }, (_, n) => n * 7919),
    maxTokens: 200,
    priority: 5,
    share: 1,
    slackMs: 560,
    patienceMs: 30_000,
    firstTokenMs: 560,
    betweenTokensMs: 35,
    wholePrefillTokens: 256,
    exportUpstream: "",
    excluded: [],
    round: 0,
  };
  return { kind: { $case: "planAsk", value } };
}
