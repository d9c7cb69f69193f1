/** Carries out a core's orders in the fake fleet. */
import type { Event, Order, UpstreamId } from "../../src/core/mod.ts";
import { readRows, writeRows } from "../../src/standins/platform/model.ts";
import type { Got } from "./callers.ts";
import type { FakeHost, Fleet } from "./fleet.ts";
import { PLATFORM } from "./network.ts";
import type { FakeUpstream } from "./upstream.ts";

/** A connection attempt that gets no answer is given up after this. */
const CONNECT_MS = 300;
/** A message to a peer that gets no answer is given up after this. */
const PEER_MS = 500;
/** One call of the platform, there and back. */
const PLATFORM_MS = 5;

/** Carries out one order of a host. */
export function carryOut(fleet: Fleet, host: FakeHost, order: Order): void {
  switch (order.type) {
    case "replyChunk":
    case "replyEnd":
    case "replyPlain":
    case "replyError":
      return reply(fleet, order);
    case "prefill":
      return send(fleet, host, order, (at) => at.prefill(host, order));
    case "decode":
      return send(fleet, host, order, (at) => at.decode(host, order));
    case "callPlain":
      return send(
        fleet,
        host,
        order,
        (at) => at.call(host, order.attempt, order.body),
      );
    case "resume":
      return send(
        fleet,
        host,
        order,
        (at) => at.resume(host, order.attempt, order.after),
      );
    case "cancel":
      return ask(fleet, host, order.upstream, (at) => {
        const { attempt, upstream } = order;
        if (!at.cancel(attempt)) return undefined;
        return { type: "cancelDone", attempt, upstream };
      });
    case "readLoad":
      return ask(fleet, host, order.upstream, (at) => at.load());
    case "readCache":
      return ask(
        fleet,
        host,
        order.upstream,
        (at) => at.cacheEvents(order.after),
      );
    case "readHeld":
      return ask(fleet, host, order.upstream, (at) => ({
        type: "heldList",
        upstream: order.upstream,
        attempts: at.held(),
      }));
    case "turnRole":
      return ask(fleet, host, order.upstream, (at) => {
        const { upstream, role, fence } = order;
        if (at.turn(host.id, role, fence)) return undefined;
        return { type: "orderRefused", upstream };
      });
    case "tell":
      return tell(fleet, host, order);
    case "readHosts":
    case "readTable":
    case "writeTable":
      return callPlatform(fleet, host, order);
    case "observe":
    case "log":
    case "stopped":
      return;
  }
}

type Reply = Extract<Order, {
  type: "replyChunk" | "replyEnd" | "replyPlain" | "replyError";
}>;

function reply(fleet: Fleet, order: Reply): void {
  const got = fleet.got.get(order.request);
  if (!got || got.gone || got.broken || got.endedAt !== undefined) return;
  switch (order.type) {
    case "replyChunk":
      got.firstAt ??= fleet.now;
      got.text += order.text;
      got.tokens += order.tokens;
      return;
    case "replyEnd":
      return end(fleet, got, true);
    case "replyPlain":
      got.text = order.body;
      got.status = order.status;
      return end(fleet, got, true);
    case "replyError":
      got.error = order.error;
      got.ran = order.ran;
      if (order.retryAfterSeconds !== undefined) {
        got.retryAfterSeconds = order.retryAfterSeconds;
      }
      return end(fleet, got, false);
  }
}

function end(fleet: Fleet, got: Got, whole: boolean): void {
  got.endedAt = fleet.now;
  got.whole = whole;
}

type Sent = Extract<Order, {
  type: "prefill" | "decode" | "callPlain" | "resume";
}>;

/** Sends work to an upstream, or tells how that failed. */
function send(
  fleet: Fleet,
  host: FakeHost,
  order: Sent,
  run: (at: FakeUpstream) => void,
): void {
  const at = fleet.upstream(order.upstream);
  const { attempt, upstream } = order;
  const failure = order.type === "resume" ? "broken" : "not-started";
  const failed: Event = { type: "attemptFailed", attempt, upstream, failure };
  const { network } = fleet;
  if (!network.reaches(host.hall, at.laid.hall)) {
    return fleet.after(CONNECT_MS, () => fleet.deliver(host, failed));
  }
  const delay = network.delay(host.hall, at.laid.hall);
  fleet.after(delay, () => {
    if (at.alive) run(at);
    else fleet.after(delay, () => fleet.deliver(host, failed));
  });
}

/** Asks an upstream something; silence when it can't be reached. */
function ask(
  fleet: Fleet,
  host: FakeHost,
  upstream: UpstreamId,
  answer: (at: FakeUpstream) => Event | undefined,
): void {
  const at = fleet.upstream(upstream);
  const { network } = fleet;
  if (!network.reaches(host.hall, at.laid.hall)) return;
  const delay = network.delay(host.hall, at.laid.hall);
  const { incarnation } = host;
  fleet.after(delay, () => {
    const event = at.alive ? answer(at) : undefined;
    if (!event) return;
    fleet.after(delay, () => {
      if (!network.reaches(host.hall, at.laid.hall)) return;
      if (host.incarnation === incarnation) fleet.deliver(host, event);
    });
  });
}

function tell(
  fleet: Fleet,
  host: FakeHost,
  order: Extract<Order, { type: "tell" }>,
): void {
  const peer = fleet.hosts.get(order.to);
  const failed: Event = { type: "peerFailed", peer: order.to };
  const { network } = fleet;
  if (!peer || !network.reaches(host.hall, peer.hall)) {
    return fleet.after(PEER_MS, () => fleet.deliver(host, failed));
  }
  const event: Event = {
    type: "peerMessage",
    from: host.id,
    incarnation: host.incarnation,
    message: order.message,
  };
  fleet.after(network.delay(host.hall, peer.hall), () => {
    if (!peer.alive) return fleet.deliver(host, failed);
    if (peer.frozen) fleet.after(PEER_MS, () => fleet.deliver(host, failed));
    fleet.deliver(peer, event);
  });
}

type PlatformCall = Extract<Order, {
  type: "readHosts" | "readTable" | "writeTable";
}>;

function callPlatform(
  fleet: Fleet,
  host: FakeHost,
  order: PlatformCall,
): void {
  const { platform, network } = fleet;
  if (!network.reaches(host.hall, PLATFORM)) return;
  const { incarnation } = host;
  fleet.after(PLATFORM_MS / 2, () => {
    if (platform.down) return;
    const event = platformAnswer(fleet, order);
    if (!event) return;
    fleet.after(PLATFORM_MS / 2 + platform.slowMs, () => {
      if (!network.reaches(host.hall, PLATFORM)) return;
      if (host.incarnation === incarnation) fleet.deliver(host, event);
    });
  });
}

function platformAnswer(
  fleet: Fleet,
  order: PlatformCall,
): Event | undefined {
  const { platform } = fleet;
  if (order.type === "readHosts") {
    return { type: "hostList", list: platform.list };
  }
  if (order.type === "readTable") {
    const rows = readRows(platform, order.prefix, order.after);
    const { revision } = platform;
    return { type: "tableRows", call: order.call, rows, revision };
  }
  const result = writeRows(platform, order.changes);
  if (platform.loseWrites > 0) {
    platform.loseWrites -= 1;
    return undefined;
  }
  const { call } = order;
  if (result.ok) {
    return { type: "tableWritten", call, revision: result.revision };
  }
  return { type: "tableConflict", call, keys: result.conflicts };
}
