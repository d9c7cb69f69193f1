/**
 * The core's one function: events in, orders out. Time is an argument; the
 * same events at the same times give the same orders.
 */
import type { Event } from "./events.ts";
import type { HostId } from "../util/ids.ts";
import type { Milliseconds } from "../util/units.ts";
import type { PeerMessage } from "../messages/peer.ts";
import type { Order } from "./orders.ts";
import { handleEvent } from "./handle.ts";
import { askPlanners, renewGrants } from "./systems/asking.ts";
import {
  claimRequests,
  closeClaims,
  expireCalls,
  settleClaims,
} from "./systems/claims.ts";
import { finishClosing } from "./systems/delivery.ts";
import { dispatchReady } from "./systems/dispatch.ts";
import { forgetKeys } from "./systems/keepers.ts";
import { expireGrants } from "./systems/ledger.ts";
import { pollHosts } from "./systems/host_list.ts";
import { gossip } from "./systems/membership.ts";
import { placeAsks } from "./systems/placement.ts";
import { closeKeys, registerKeys, renewKeys } from "./systems/registry.ts";
import { retryReleases } from "./systems/release.ts";
import { checkProgress } from "./systems/retry.ts";
import { pollSettings } from "./systems/settings.ts";
import { planTurns } from "./systems/split.ts";
import { finishStop } from "./systems/stopping.ts";
import { pollHeld } from "./systems/sweep.ts";
import { advanceTurns } from "./systems/turns.ts";
import { pollUpstreams } from "./systems/upstreams.ts";
import type { World } from "./world.ts";

/** A system: goes over its tables and adds orders. */
export type System = (world: World, now: Milliseconds) => void;

/** Run on ticks only: what depends on time alone. */
const TIMED: readonly System[] = [
  pollHosts,
  pollSettings,
  gossip,
  pollUpstreams,
  pollHeld,
  expireCalls,
  expireGrants,
  planTurns,
  advanceTurns,
  renewKeys,
  forgetKeys,
  renewGrants,
  checkProgress,
  retryReleases,
];

/** Run whenever a request has entered a phase, and on ticks. */
const PHASES: readonly System[] = [
  registerKeys,
  askPlanners,
  claimRequests,
  settleClaims,
  dispatchReady,
  finishClosing,
  closeKeys,
  closeClaims,
];

/** Takes events and gives the orders that follow. */
export function step(
  world: World,
  events: readonly Event[],
  now: Milliseconds,
): Order[] {
  world.orders = [];
  for (const event of events) handleEvent(world, event, now);
  if (events.some((event) => event.type === "tick")) {
    world.changed = true;
    for (const system of TIMED) system(world, now);
  }
  settle(world, now);
  const orders = world.orders;
  world.orders = [];
  return orders;
}

/** Runs the phases until nothing changes and no word to itself is left. */
function settle(world: World, now: Milliseconds): void {
  placeAsks(world, now);
  for (;;) {
    if (world.changed) runPhases(world, now);
    const own = takeOwnMessages(world);
    if (own.length === 0 && !world.changed) break;
    for (const message of own) handleOwn(world, message, now);
    placeAsks(world, now);
  }
  finishStop(world);
}

function runPhases(world: World, now: Milliseconds): void {
  world.changed = false;
  for (const system of PHASES) system(world, now);
  world.ended = [];
}

function takeOwnMessages(world: World): PeerMessage[] {
  const own: PeerMessage[] = [];
  const rest: Order[] = [];
  for (const order of world.orders) {
    if (isOwn(order, world.self.id)) own.push(order.message);
    else rest.push(order);
  }
  if (own.length > 0) world.orders = rest;
  return own;
}

function isOwn(
  order: Order,
  self: HostId,
): order is Extract<Order, { type: "tell" }> {
  return order.type === "tell" && order.to === self;
}

function handleOwn(
  world: World,
  message: PeerMessage,
  now: Milliseconds,
): void {
  const { id, incarnation } = world.self;
  const event: Event = {
    type: "peerMessage",
    from: id,
    incarnation,
    message,
  };
  handleEvent(world, event, now);
}
