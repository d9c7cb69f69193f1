/** How old heartbeats get in a region, and what the gossip costs. */
import { EnvelopeCodec } from "../../src/core/mod.ts";
import { Fleet } from "../../test/fake/fleet.ts";

/** What a gossip came to. */
export type GossipResult = {
  readonly hosts: number;
  readonly fanout: number;
  /** Age of the oldest heartbeat that any host had of any other. */
  readonly oldestMs: number;
  /** Sent by one host, without calls' own overhead. */
  readonly bytesPerSecond: number;
  readonly messagesPerSecond: number;
};

const FROM_MS = 15_000;
const SPAN_MS = 20_000;
const LOOK_MS = 250;

/** Runs a region that does nothing but gossip. */
export function tryGossip(hosts: number, fanout: number): GossipResult {
  const layout = {
    hosts: Array.from(
      { length: hosts },
      (_, n) => ({ id: `host-${n}`, hall: `hall-${n % 3}` }),
    ),
    upstreams: [],
  };
  const options = { gossipFanout: fanout, hostTimeoutMs: 60_000 };
  const fleet = new Fleet({ layout, seed: 3, options });
  let bytes = 0;
  let messages = 0;
  fleet.onOrder = (host, order) => {
    if (fleet.now < FROM_MS || order.type !== "tell") return;
    const { id, incarnation } = host.world.self;
    const envelope = { from: id, incarnation, messages: [order.message] };
    bytes += EnvelopeCodec.encode(envelope).finish().length;
    messages += 1;
  };
  let oldestMs = 0;
  for (let at = FROM_MS; at <= FROM_MS + SPAN_MS; at += LOOK_MS) {
    fleet.runUntil(at);
    for (const { world } of fleet.hosts.values()) {
      for (const host of world.hosts.values()) {
        if (host.id === world.self.id) continue;
        oldestMs = Math.max(oldestMs, at - host.heardAt);
      }
    }
  }
  const perHost = hosts * SPAN_MS / 1000;
  return {
    hosts,
    fanout,
    oldestMs,
    bytesPerSecond: bytes / perHost,
    messagesPerSecond: messages / perHost,
  };
}
