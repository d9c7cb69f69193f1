/** Worlds of a given size. */
import {
  createWorld,
  type Event,
  type ListEntry,
  type PeerMessage,
  step,
  type World,
} from "../../src/core/mod.ts";
import { seedRows } from "../../test/fake/seed_rows.ts";

/** The size of a world. */
export type Size = {
  readonly hosts: number;
  /** Upstreams in all, and how many of them serve each service. */
  readonly upstreams: number;
  readonly perService: number;
};

const REGION = "r";
/** So many upstreams that a service is never divided. */
const ONE_POOL = 1000;

function entry(given: Partial<ListEntry>): ListEntry {
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
    ...given,
  };
}

/** The host list of a size. */
export function entriesOf(size: Size): ListEntry[] {
  const hosts = Array.from(
    { length: size.hosts },
    (_, n) => entry({ id: `host-${n}` }),
  );
  const upstreams = Array.from({ length: size.upstreams }, (_, n) =>
    entry({
      id: `upstream-${n}`,
      kind: "upstream",
      service: `model-${Math.floor(n / size.perService)}`,
      role: n % 2 === 0 ? "prefill" : "decode",
    }));
  return [...hosts, ...upstreams];
}

/** A world of host-0 that knows the whole list and its settings. */
export function worldOf(size: Size): World {
  const world = createWorld({
    self: { id: "host-0", hall: "hall-1", region: REGION, incarnation: 1 },
    seed: 1,
    options: { poolUpstreams: ONE_POOL },
  });
  const list = { revision: 1, entries: entriesOf(size) };
  step(world, [{ type: "hostList", list }], 1);
  step(world, [fromPeer("host-1", heartbeats(size))], 1);
  const rows = seedRows().map((row, n) => ({
    key: row.key,
    version: n + 1,
    value: row.value ?? "",
  }));
  const value = { after: 0, upTo: rows.length, rows };
  const message: PeerMessage = { kind: { $case: "settingsRows", value } };
  step(world, [fromPeer("host-1", message)], 1);
  return world;
}

/** A peer's message as an event. */
export function fromPeer(from: string, message: PeerMessage): Event {
  return { type: "peerMessage", from, incarnation: 1, message };
}

/** A gossip message that has heard of every host. */
export function heartbeats(size: Size, counter = 1): PeerMessage {
  const beats = Array.from({ length: size.hosts }, (_, n) => ({
    host: `host-${n}`,
    incarnation: 1_764_668_491_000 + n,
    counter,
    leaving: false,
  }));
  const value = {
    heartbeats: beats,
    settingsVersion: 4,
    listRevision: 1,
    answer: true,
  };
  return { kind: { $case: "gossip", value } };
}

/** Load reports of all upstreams of one service. */
export function reports(world: World, service: string): Event[] {
  return (world.pools.get(service) ?? []).map((one) => ({
    type: "loadReport",
    upstream: one.id,
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

/** An ask for a prompt of 8,192 tokens with 32 block hashes. */
export function sampleAsk(request: string, pool: string): PeerMessage {
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
