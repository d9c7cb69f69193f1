/** Carries out changes of role: drained, under a lease, with its fence. */
import type { UpstreamId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { type Turn, TurnPhase } from "../tables/turns.ts";
import type { Upstream } from "../tables/upstreams.ts";
import { Mechanism } from "../options.ts";
import { count, enabled, log, order, type World } from "../world.ts";
import {
  earlierOrdersOver,
  mayOrder,
  orderBefore,
  pursueLease,
  returnLease,
} from "./lease.ts";
import { occupancyOf } from "./ledger.ts";
import { plannerOf } from "./membership.ts";

/** A change that takes longer is given up. */
const TURN_MS = 180_000;
/** A gap between ticks of this length is a pause of the process. */
const PAUSE_MS = 1000;
/** Time between two sendings of an order. */
const RESEND_MS = 2000;

/** Whether an upstream is about to change its role. */
export function isTurning(world: World, upstream: Upstream): boolean {
  return world.turns.get(upstream.pool)?.upstream === upstream.id;
}

/** Moves every change of role on. */
export function advanceTurns(world: World, now: Milliseconds): void {
  const paused = now - world.tickedAt > PAUSE_MS;
  world.tickedAt = now;
  if (paused && enabled(world, Mechanism.leases)) forgetTurns(world);
  for (const turn of world.turns.values()) {
    const planner = plannerOf(world, turn.service, now);
    const upstream = world.upstreams.get(turn.upstream);
    const late = now - turn.since > TURN_MS;
    if (planner !== world.self.id || !upstream || late) {
      dropTurn(world, turn, now);
      continue;
    }
    if (upstream.role === turn.role) {
      finishTurn(world, turn, upstream, now);
      continue;
    }
    advance(world, turn, upstream, now);
  }
}

/** After a pause nothing that was decided before it is acted on. */
function forgetTurns(world: World): void {
  world.turns.clear();
  world.leases.clear();
}

function advance(
  world: World,
  turn: Turn,
  upstream: Upstream,
  now: Milliseconds,
): void {
  if (turn.phase === TurnPhase.draining) {
    if (!isEmpty(world, upstream, turn, now)) return;
    turn.phase = TurnPhase.leasing;
  }
  const lease = pursueLease(world, turn.service, now);
  if (!mayOrder(world, lease, now)) {
    turn.phase = TurnPhase.leasing;
    return;
  }
  if (!upstream.checksOrders && !earlierOrdersOver(lease, now)) return;
  turn.phase = TurnPhase.ordering;
  if (now < turn.nextAt || !isEmpty(world, upstream, turn, now)) return;
  turn.nextAt = now + RESEND_MS;
  order(world, {
    type: "turnRole",
    upstream: turn.upstream,
    role: turn.role,
    fence: lease.revision,
    sendBefore: orderBefore(lease),
  });
}

/** Nothing is held there, by the ledger and by a report since the start. */
function isEmpty(
  world: World,
  upstream: Upstream,
  turn: Turn,
  now: Milliseconds,
): boolean {
  const { held, prefills, transfers } = occupancyOf(world, upstream.id);
  if (held > 0 || prefills.tokens > 0 || transfers.tokens > 0) return false;
  if (upstream.reportedAt < turn.since + RESEND_MS) return false;
  if (now - upstream.reportedAt > 2 * RESEND_MS) return false;
  return upstream.report?.running === 0;
}

function finishTurn(
  world: World,
  turn: Turn,
  upstream: Upstream,
  now: Milliseconds,
): void {
  world.turns.delete(turn.service);
  upstream.prefixes.clear();
  const pressure = world.pressures.get(turn.service);
  if (pressure) pressure.lastTurnAt = now;
  returnLease(world, turn.service, now);
  count(world, "roles_changed");
  log(world, {
    part: "split",
    sentence: "An upstream has changed its role",
    fields: { upstream: turn.upstream, role: turn.role },
  });
}

function dropTurn(world: World, turn: Turn, now: Milliseconds): void {
  world.turns.delete(turn.service);
  returnLease(world, turn.service, now);
}

/** An upstream has seen a higher fence: somebody else is in charge. */
export function takeOrderRefused(
  world: World,
  id: UpstreamId,
  now: Milliseconds,
): void {
  const upstream = world.upstreams.get(id);
  const turn = upstream && world.turns.get(upstream.pool);
  if (!turn || turn.upstream !== id) return;
  count(world, "orders_refused");
  dropTurn(world, turn, now);
}
