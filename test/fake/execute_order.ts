/** Executes the orders of a core in the fake fleet. */
import type { Event, Order, UpstreamId } from "../../src/core/mod.ts";
import { readRows, writeRows } from "../../src/standins/platform/model.ts";
import type { CallRecord } from "./callers.ts";
import type { FakeFleet, FakeHost } from "./fleet.ts";
import { PLATFORM } from "./network.ts";
import type { FakeUpstream } from "./upstream.ts";

const CONNECT_TIMEOUT_MS = 300;
const PEER_TIMEOUT_MS = 500;
const PLATFORM_ROUND_TRIP_MS = 5;

/** Executes one order of a host. */
export function executeOrder(
  fleet: FakeFleet,
  host: FakeHost,
  order: Order,
): void {
  switch (order.type) {
    case "replyChunk":
    case "replyEnd":
    case "replyPlain":
    case "replyError":
      return reply(fleet, order);
    case "prefill":
      return sendWork(
        fleet,
        host,
        order,
        (target) => target.prefill(host, order),
      );
    case "decode":
      return sendWork(
        fleet,
        host,
        order,
        (target) => target.decode(host, order),
      );
    case "callPlain":
      return sendWork(
        fleet,
        host,
        order,
        (target) => target.call(host, order.attempt, order.body),
      );
    case "resume":
      return sendWork(
        fleet,
        host,
        order,
        (target) => target.resume(host, order.attempt, order.after),
      );
    case "cancel":
      return queryUpstream(fleet, host, order.upstream, (target) => {
        const { attempt, upstream } = order;
        if (!target.cancel(attempt)) return undefined;
        return { type: "cancelDone", attempt, upstream };
      });
    case "readLoad":
      return queryUpstream(
        fleet,
        host,
        order.upstream,
        (target) => target.load(),
      );
    case "readCache":
      return queryUpstream(
        fleet,
        host,
        order.upstream,
        (target) => target.cacheEvents(order.after),
      );
    case "readHeld":
      return queryUpstream(fleet, host, order.upstream, (target) => ({
        type: "heldList",
        upstream: order.upstream,
        attempts: target.held(),
      }));
    case "turnRole":
      return queryUpstream(fleet, host, order.upstream, (target) => {
        const { upstream, role, fence } = order;
        if (target.changeRole(host.id, role, fence)) return undefined;
        return { type: "orderRefused", upstream };
      });
    case "tell":
      return sendToPeer(fleet, host, order);
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

function reply(fleet: FakeFleet, order: Reply): void {
  const record = fleet.callRecords.get(order.request);
  if (
    !record || record.isCancelled || record.isInterrupted ||
    record.endedAt !== undefined
  ) {
    return;
  }
  switch (order.type) {
    case "replyChunk":
      record.firstTokenAt ??= fleet.now;
      record.text += order.text;
      record.tokens += order.tokens;
      return;
    case "replyEnd":
      return endCall(fleet, record, true);
    case "replyPlain":
      record.text = order.body;
      record.status = order.status;
      return endCall(fleet, record, true);
    case "replyError":
      record.error = order.error;
      record.ran = order.ran;
      if (order.retryAfterSeconds !== undefined) {
        record.retryAfterSeconds = order.retryAfterSeconds;
      }
      return endCall(fleet, record, false);
  }
}

function endCall(
  fleet: FakeFleet,
  record: CallRecord,
  isComplete: boolean,
): void {
  record.endedAt = fleet.now;
  record.isComplete = isComplete;
}

type WorkOrder = Extract<Order, {
  type: "prefill" | "decode" | "callPlain" | "resume";
}>;

/** Sends work to an upstream, or delivers the failure to the host. */
function sendWork(
  fleet: FakeFleet,
  host: FakeHost,
  order: WorkOrder,
  start: (target: FakeUpstream) => void,
): void {
  const target = fleet.upstream(order.upstream);
  const { attempt, upstream } = order;
  const failure = order.type === "resume" ? "broken" : "not-started";
  const failed: Event = { type: "attemptFailed", attempt, upstream, failure };
  const { network } = fleet;
  if (!network.reaches(host.hall, target.layout.hall)) {
    return fleet.after(CONNECT_TIMEOUT_MS, () => fleet.deliver(host, failed));
  }
  const delay = network.delay(host.hall, target.layout.hall);
  fleet.after(delay, () => {
    if (target.alive) start(target);
    else fleet.after(delay, () => fleet.deliver(host, failed));
  });
}

/** Queries an upstream; an unreachable one sends no response. */
function queryUpstream(
  fleet: FakeFleet,
  host: FakeHost,
  upstream: UpstreamId,
  respond: (target: FakeUpstream) => Event | undefined,
): void {
  const target = fleet.upstream(upstream);
  const { network } = fleet;
  if (!network.reaches(host.hall, target.layout.hall)) return;
  const delay = network.delay(host.hall, target.layout.hall);
  const { incarnation } = host;
  fleet.after(delay, () => {
    const event = target.alive ? respond(target) : undefined;
    if (!event) return;
    fleet.after(delay, () => {
      if (!network.reaches(host.hall, target.layout.hall)) return;
      if (host.incarnation === incarnation) fleet.deliver(host, event);
    });
  });
}

function sendToPeer(
  fleet: FakeFleet,
  host: FakeHost,
  order: Extract<Order, { type: "tell" }>,
): void {
  const peer = fleet.hosts.get(order.to);
  const failed: Event = { type: "peerFailed", peer: order.to };
  const { network } = fleet;
  if (!peer || !network.reaches(host.hall, peer.hall)) {
    return fleet.after(PEER_TIMEOUT_MS, () => fleet.deliver(host, failed));
  }
  const event: Event = {
    type: "peerMessage",
    from: host.id,
    incarnation: host.incarnation,
    message: order.message,
  };
  fleet.after(network.delay(host.hall, peer.hall), () => {
    if (!peer.alive) return fleet.deliver(host, failed);
    if (peer.isSuspended) {
      fleet.after(PEER_TIMEOUT_MS, () => fleet.deliver(host, failed));
    }
    fleet.deliver(peer, event);
  });
}

type PlatformCall = Extract<Order, {
  type: "readHosts" | "readTable" | "writeTable";
}>;

function callPlatform(
  fleet: FakeFleet,
  host: FakeHost,
  order: PlatformCall,
): void {
  const { platform, network } = fleet;
  if (!network.reaches(host.hall, PLATFORM)) return;
  const { incarnation } = host;
  fleet.after(PLATFORM_ROUND_TRIP_MS / 2, () => {
    if (platform.down) return;
    const event = platformResponse(fleet, order);
    if (!event) return;
    fleet.after(PLATFORM_ROUND_TRIP_MS / 2 + platform.slowMs, () => {
      if (!network.reaches(host.hall, PLATFORM)) return;
      if (host.incarnation === incarnation) fleet.deliver(host, event);
    });
  });
}

function platformResponse(
  fleet: FakeFleet,
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
