/** Measures the age of heartbeats in a region and the traffic of gossip. */
import { EnvelopeCodec } from "../../src/core/mod.ts";
import { FakeFleet } from "../../test/fake/fleet.ts";

/** The result of {@link measureGossip}. */
export type GossipResult = {
  readonly hosts: number;
  readonly fanout: number;
  /** The age of the oldest heartbeat that any host had of another. */
  readonly oldestMs: number;
  /** Sent by one host, without the overhead of RPC calls. */
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
};

const WARM_UP_MS = 15_000;
const MEASURED_MS = 20_000;
const SAMPLE_INTERVAL_MS = 250;

/** Runs a region whose hosts only gossip. */
export function measureGossip(hosts: number, fanout: number): GossipResult {
  const layout = {
    hosts: Array.from(
      { length: hosts },
      (_, n) => ({ id: `host-${n}`, hall: `hall-${n % 3}` }),
    ),
    upstreams: [],
  };
  const options = { gossipFanout: fanout, hostTimeoutMs: 60_000 };
  const fleet = new FakeFleet({ layout, seed: 3, options });
  let bytes = 0;
  let messages = 0;
  fleet.onOrder = (host, order) => {
    if (fleet.now < WARM_UP_MS || order.type !== "tell") return;
    const { id, incarnation } = host.world.self;
    const envelope = { from: id, incarnation, messages: [order.message] };
    bytes += EnvelopeCodec.encode(envelope).finish().length;
    messages += 1;
  };
  let oldestMs = 0;
  for (
    let at = WARM_UP_MS;
    at <= WARM_UP_MS + MEASURED_MS;
    at += SAMPLE_INTERVAL_MS
  ) {
    fleet.runUntil(at);
    for (const { world } of fleet.hosts.values()) {
      for (const host of world.hosts.values()) {
        if (host.id === world.self.id) continue;
        oldestMs = Math.max(oldestMs, at - host.heardAt);
      }
    }
  }
  const perHost = hosts * MEASURED_MS / 1000;
  return {
    hosts,
    fanout,
    oldestMs,
    bytesPerSecond: bytes / perHost,
    messagesPerSecond: messages / perHost,
  };
}
