/**
 * The split of a service's upstreams between prefill and decode: as operators
 * set it, or by how busy both sides are, with hysteresis.
 */
import type { ServiceId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import { DEFAULT_SETUP, RowKey } from "../setups/setup.ts";
import { SplitSchema } from "../setups/split.ts";
import { type Pressure, TurnPhase } from "../tables/turns.ts";
import { Role, type Upstream } from "../tables/upstreams.ts";
import { log, type World } from "../world.ts";
import { occupancyOf } from "./ledger.ts";
import { plannerOf } from "./membership.ts";
import { slotsWithin } from "./pool.ts";
import { accepting } from "./upstreams.ts";

/** Time between two looks at a service. */
const LOOK_MS = 200;
/** Weight of a look in the smoothed shares: about ten seconds. */
const WEIGHT = 0.02;
/** A side is short above its limit, and can give below its other one. */
const PREFILL_SHORT = 0.8;
const PREFILL_SPARE = 0.4;
const DECODE_SHORT = 0.8;
const DECODE_SPARE = 0.5;
/** One side must have been short for this long. */
const PATIENCE_MS = 10_000;
/** Slots count that meet this target between tokens. */
const TARGET_MS = DEFAULT_SETUP.betweenTokensMs;
/** Time for a change to show before the next. */
const REST_MS = 30_000;

/** Decides whether an upstream of a service should change its role. */
export function planTurns(world: World, now: Milliseconds): void {
  for (const [service, pool] of world.pools) {
    const name = pool[0]?.service ?? "";
    const row = world.settings.rows.get(RowKey.split + name);
    if (!row?.value) continue;
    if (plannerOf(world, service, now) !== world.self.id) continue;
    const pressure = pressureOf(world, service);
    if (now < pressure.nextAt) continue;
    pressure.nextAt = now + LOOK_MS;
    look(world, pressure, pool);
    if (world.turns.has(service)) continue;
    const split = SplitSchema.parse(JSON.parse(row.value));
    const step = split.prefill === undefined
      ? stepByPressure(pressure, now)
      : Math.sign(
        wanted(world, pool, split.prefill) -
          withRole(world, pool, Role.prefill).length,
      );
    if (step !== 0) startTurn(world, service, pool, step, now);
  }
}

/** A pool's part of the prefill upstreams that operators want. */
function wanted(
  world: World,
  pool: readonly Upstream[],
  prefill: number,
): number {
  const { service = "", pool: name = "" } = pool[0] ?? {};
  const pools = world.services.get(service) ?? [];
  const place = pools.indexOf(name);
  const part = Math.floor(prefill / pools.length);
  const rest = place < prefill % pools.length ? 1 : 0;
  return Math.max(1, part + rest);
}

function pressureOf(world: World, service: ServiceId): Pressure {
  const known = world.pressures.get(service);
  if (known) return known;
  const row = {
    prefill: 0.5,
    decode: 0.5,
    shortSince: undefined,
    lastTurnAt: -Infinity,
    nextAt: 0,
  };
  world.pressures.set(service, row);
  return row;
}

function withRole(
  world: World,
  pool: readonly Upstream[],
  role: Role,
): Upstream[] {
  return pool.filter((one) => one.role === role && accepting(world, one.id));
}

function look(
  world: World,
  pressure: Pressure,
  pool: readonly Upstream[],
): void {
  const prefills = withRole(world, pool, Role.prefill);
  const busy = prefills.filter((one) => {
    const { prefills: line, transfers } = occupancyOf(world, one.id);
    return line.tokens > 0 || transfers.tokens > 0;
  });
  const decodes = withRole(world, pool, Role.decode);
  const slots = decodes
    .reduce((sum, one) => sum + slotsWithin(one, TARGET_MS), 0);
  const held = decodes
    .reduce((sum, one) => sum + occupancyOf(world, one.id).held, 0);
  const prefill = busy.length / Math.max(1, prefills.length);
  const decode = held / Math.max(1, slots);
  pressure.prefill += (prefill - pressure.prefill) * WEIGHT;
  pressure.decode += (decode - pressure.decode) * WEIGHT;
}

/** +1: one more for prefill, -1: one more for decode, 0: as it is. */
function stepByPressure(pressure: Pressure, now: Milliseconds): number {
  const { prefill, decode } = pressure;
  const more = prefill > PREFILL_SHORT && decode < DECODE_SPARE;
  const fewer = decode > DECODE_SHORT && prefill < PREFILL_SPARE;
  if (!more && !fewer) {
    pressure.shortSince = undefined;
    return 0;
  }
  pressure.shortSince ??= now;
  if (now - pressure.shortSince < PATIENCE_MS) return 0;
  if (now - pressure.lastTurnAt < REST_MS) return 0;
  return more ? 1 : -1;
}

function startTurn(
  world: World,
  service: ServiceId,
  pool: readonly Upstream[],
  step: number,
  now: Milliseconds,
): void {
  const from = step > 0 ? Role.decode : Role.prefill;
  const givers = withRole(world, pool, from);
  if (givers.length < 2) return;
  const load = (one: Upstream): number => {
    const { held, prefills } = occupancyOf(world, one.id);
    return held + prefills.tokens;
  };
  givers.sort((a, b) => load(a) - load(b));
  const [upstream] = givers;
  if (!upstream) return;
  const role = step > 0 ? Role.prefill : Role.decode;
  world.turns.set(service, {
    service,
    upstream: upstream.id,
    role,
    since: now,
    phase: TurnPhase.draining,
    nextAt: now,
  });
  log(world, {
    part: "split",
    sentence: "An upstream is to change its role",
    fields: { service, upstream: upstream.id, role },
  });
}
