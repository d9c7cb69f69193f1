/**
 * Measures how time, memory and message sizes grow with the size of a fleet.
 */
import { EnvelopeCodec, type Event, step } from "../../src/core/mod.ts";
import { customerRow } from "../../test/fake/seed_rows.ts";
import {
  fitLine,
  type Line,
  measureHeap,
  medianMicroseconds,
  type Point,
} from "./measure.ts";
import {
  createWorldOfSize,
  entriesOf,
  gossipMessage,
  loadReports,
  peerEvent,
  samplePlanRequest,
  type Size,
} from "./worlds.ts";

/** A quantity measured over one size parameter. */
export type Slope = {
  readonly name: string;
  readonly unit: string;
  readonly over: string;
  readonly points: readonly Point[];
  readonly line: Line;
};

function measureSlope(
  name: string,
  unit: string,
  over: string,
  sizes: readonly number[],
  measure: (size: number) => number,
): Slope {
  const points = sizes.map((x) => ({ x, y: measure(x) }));
  return { name, unit, over, points, line: fitLine(points) };
}

const SMALL: Size = { hosts: 9, upstreams: 24, perService: 8 };

/**
 * Measures one placement: a plan request is queued, placed, granted and ended.
 */
function measurePlacement(perService: number): number {
  const world = createWorldOfSize({
    ...SMALL,
    upstreams: 2 * perService,
    perService,
  });
  step(world, loadReports(world, "model-0"), 10);
  let number = 0;
  return medianMicroseconds(() => {
    number += 1;
    const request = `host-1/1/${number}`;
    const planRequest = samplePlanRequest(request, "model-0");
    step(world, [peerEvent("host-1", planRequest)], 20);
    const ended = { request, stage: "ended", failedUpstream: "" };
    const end = { kind: { $case: "planProgress" as const, value: ended } };
    step(world, [peerEvent("host-1", end)], 20);
  }, 200);
}

/** Measures a tick of an idle host. */
function measureIdleTick(size: Size): number {
  const world = createWorldOfSize(size);
  let now = 100;
  return medianMicroseconds(() => {
    now += 20;
    step(world, [{ type: "tick" }], now);
  }, 200);
}

/** Measures the handling of a peer's digest. */
function measureGossipReceipt(hosts: number): number {
  const size = { ...SMALL, hosts };
  const world = createWorldOfSize(size);
  let counter = 1;
  return medianMicroseconds(() => {
    counter += 1;
    step(world, [peerEvent("host-1", gossipMessage(size, counter))], 50);
  }, 100);
}

/** Measures the forwarding of one chunk of a response. */
function measureChunk(requests: number): number {
  const world = createWorldOfSize(SMALL);
  step(world, loadReports(world, "model-0"), 10);
  for (let n = 1; n <= requests; n += 1) openStream(world, n);
  let index = 0;
  return medianMicroseconds(() => {
    for (let n = 1; n <= requests; n += 1) {
      const attempt = `host-0/1/${n}/1`;
      const chunk = { attempt, index, tokens: 1, text: "word ", last: false };
      step(world, [{ type: "chunk", ...chunk }], 30);
    }
    index += 1;
  }, 20) / requests;
}

function openStream(
  world: ReturnType<typeof createWorldOfSize>,
  n: number,
): void {
  const call: Event = {
    type: "callerRequest",
    request: `host-0/1/${n}`,
    keyHash: keyHashOf("armor"),
    service: "model-0",
    kind: "completion",
    path: "/",
    body: "{}",
    stream: true,
    promptTokens: 60,
    prefixes: [],
    maxTokens: 20,
    once: false,
  };
  step(world, [call], 20);
  const request = world.requests.get(`host-0/1/${n}`);
  if (request?.attempt !== undefined) return;
  const grant = {
    request: `host-0/1/${n}`,
    prefill: "",
    decode: "upstream-1",
    predictedMs: 40,
    transferMs: 0,
    cachedTokens: 0,
  };
  const planner = request?.planner ?? "host-0";
  const message = { kind: { $case: "planGrant" as const, value: grant } };
  step(world, [peerEvent(planner, message)], 21);
}

function keyHashOf(name: string): string {
  const row = JSON.parse(customerRow(name, {}).value ?? "{}") as {
    key_hashes: string[];
  };
  return row.key_hashes[0] ?? "";
}

/** Measures the heap size of the settings of many customers. */
function measureCustomersHeap(customers: number): number {
  return measureHeap(() => {
    const world = createWorldOfSize(SMALL);
    for (let n = 0; n < customers; n += 100) {
      const rows = Array.from({ length: 100 }, (_, k) => {
        const { key, value } = customerRow(`customer-${n + k}`, {
          priority: 5,
        });
        return { key, version: 10 + n + k, value: value ?? "" };
      });
      const value = { after: 0, upTo: 109 + n, rows };
      const message = { kind: { $case: "settingsRows" as const, value } };
      step(world, [peerEvent("host-1", message)], 60);
    }
    return world;
  });
}

function measureIndexHeap(blocks: number): number {
  return measureHeap(() => {
    const world = createWorldOfSize(SMALL);
    const events = Array.from({ length: blocks }, (_, n) => ({
      stored: true,
      hash: n * 2_654_435_761 % 2 ** 32,
    }));
    const upstream = "upstream-0";
    step(world, [{ type: "cacheEvents", upstream, from: 1, events }], 5);
    return world;
  });
}

function encodedBytes(message: Parameters<typeof peerEvent>[1]): number {
  const envelope = { from: "host-0", incarnation: 1, messages: [message] };
  return EnvelopeCodec.encode(envelope).finish().length;
}

/** Measures all slopes. */
export function measureSlopes(): Slope[] {
  // The first world compiles the code that all measurements share.
  for (let round = 0; round < 3; round += 1) measurePlacement(64);
  return [
    measureSlope("a placement", "µs", "upstreams of a service", [
      4,
      8,
      16,
      32,
      64,
    ], measurePlacement),
    measureSlope(
      "an idle tick",
      "µs",
      "hosts of a region",
      [8, 30, 110, 330],
      (x) => measureIdleTick({ ...SMALL, hosts: x }),
    ),
    measureSlope("an idle tick", "µs", "upstreams in the list", [
      10,
      100,
      300,
      600,
    ], (x) => measureIdleTick({ hosts: 110, upstreams: x, perService: 27 })),
    measureSlope("reading a digest", "µs", "hosts of a region", [
      8,
      30,
      110,
      330,
    ], measureGossipReceipt),
    measureSlope(
      "passing a chunk on",
      "µs",
      "open requests",
      [10, 40, 160],
      measureChunk,
    ),
    measureSlope(
      "a digest",
      "bytes",
      "hosts of a region",
      [8, 30, 110, 330],
      (x) => encodedBytes(gossipMessage({ ...SMALL, hosts: x })),
    ),
    measureSlope(
      "the host list",
      "bytes",
      "entries",
      [33, 330, 930],
      (x) =>
        encodedBytes({
          kind: {
            $case: "hostList",
            value: {
              revision: 1,
              entries: entriesOf({
                hosts: 30,
                upstreams: x - 30,
                perService: 9,
              }),
            },
          },
        }),
    ),
    measureSlope("settings", "bytes of heap", "customers", [
      1000,
      10_000,
      40_000,
    ], measureCustomersHeap),
    measureSlope("a prefix index", "bytes of heap", "blocks", [
      1000,
      10_000,
      50_000,
    ], measureIndexHeap),
  ];
}
