/**
 * Leases in the platform's table. Whoever orders upstreams about holds one; a
 * row that another wrote is taken only after it has stood unchanged for the
 * whole term by this host's own clock.
 */
import type { ServiceId } from "../../util/ids.ts";
import type { Milliseconds } from "../../util/units.ts";
import type { TableRow } from "../events.ts";
import type { TableCall } from "../tables/claims.ts";
import { type Lease, LeasePhase } from "../tables/turns.ts";
import { Mechanism } from "../options.ts";
import { count, enabled, order, type World } from "../world.ts";
import { openCall } from "./calls.ts";

/** Term of a lease, counted from before it is asked for. */
export const TERM_MS = 20_000;
/** An order reaches its upstream within this time or not at all. */
export const ORDER_MS = 5000;
/** Clocks may drift by this much over a term. */
const DRIFT_MS = 1000;
/** Time between two looks at the row. */
const LOOK_MS = 2000;

/** The key of a service's lease. */
export function leaseKey(world: World, service: ServiceId): string {
  return `leases/${world.self.region}/${service}`;
}

/** Whether an order may be sent now under the lease. */
export function mayOrder(
  world: World,
  lease: Lease,
  now: Milliseconds,
): boolean {
  if (lease.phase !== LeasePhase.held) return false;
  return now < orderBefore(lease) || !enabled(world, Mechanism.leases);
}

/** An order sent until then arrives before the lease can be another's. */
export function orderBefore(lease: Lease): Milliseconds {
  return lease.askedAt + TERM_MS - ORDER_MS;
}

/**
 * Whether an upstream that does not check who orders it may be ordered: an
 * earlier holder's order must have arrived or been given up by now.
 */
export function earlierOrdersOver(lease: Lease, now: Milliseconds): boolean {
  return !lease.foreign || now >= lease.askedAt + ORDER_MS + DRIFT_MS;
}

/** Works towards holding a service's lease. */
export function pursueLease(
  world: World,
  service: ServiceId,
  now: Milliseconds,
): Lease {
  const lease = world.leases.get(service) ?? newLease(service, now);
  world.leases.set(service, lease);
  const lapsed = lease.phase === LeasePhase.held &&
    !mayOrder(world, lease, now);
  if (lapsed) lease.phase = LeasePhase.reading;
  if (now < lease.nextAt) return lease;
  if (lease.phase === LeasePhase.reading) read(world, lease, now);
  if (lease.phase === LeasePhase.watching) read(world, lease, now);
  return lease;
}

function newLease(service: ServiceId, now: Milliseconds): Lease {
  return {
    service,
    phase: LeasePhase.reading,
    revision: 0,
    seenAt: now,
    askedAt: -Infinity,
    foreign: false,
    nextAt: now,
  };
}

function read(world: World, lease: Lease, now: Milliseconds): void {
  lease.nextAt = now + LOOK_MS;
  const rows = [lease.service];
  const call = openCall(world, now, { purpose: "leaseRead", rows });
  const prefix = leaseKey(world, lease.service);
  order(world, { type: "readTable", call, prefix, after: 0 });
}

/** The row as it is: ours after a lost answer, free, or another's. */
export function takeLeaseRead(
  world: World,
  call: TableCall,
  rows: readonly TableRow[],
  now: Milliseconds,
): void {
  const lease = world.leases.get(call.rows[0] ?? "");
  if (!lease || lease.phase === LeasePhase.held) return;
  const key = leaseKey(world, lease.service);
  const row = rows.find((one) => one.key === key);
  if (row && row.value === holderValue(world, lease)) {
    lease.phase = LeasePhase.held;
    lease.revision = row.revision;
    return;
  }
  if (lease.phase === LeasePhase.writing) lease.phase = LeasePhase.reading;
  const changed = row?.revision !== lease.revision ||
    lease.phase === LeasePhase.reading;
  if (changed) {
    lease.revision = row?.revision ?? 0;
    lease.seenAt = now;
  }
  lease.phase = LeasePhase.watching;
  lease.foreign = row !== undefined;
  const free = row === undefined || row.value === null;
  const over = now - lease.seenAt >= TERM_MS + DRIFT_MS;
  if (free || over) write(world, lease, free, now);
}

/** Names this try, so that a read can tell whether it took effect. */
function holderValue(world: World, lease: Lease): string {
  const { id, incarnation } = world.self;
  return `${id}/${incarnation}/${lease.askedAt}`;
}

function write(
  world: World,
  lease: Lease,
  free: boolean,
  now: Milliseconds,
): void {
  lease.phase = LeasePhase.writing;
  lease.askedAt = now;
  const rows = [lease.service];
  const call = openCall(world, now, { purpose: "lease", rows });
  const key = leaseKey(world, lease.service);
  const value = holderValue(world, lease);
  const ifRevision = free ? 0 : lease.revision;
  order(world, {
    type: "writeTable",
    call,
    changes: [{ key, value, ifRevision }],
  });
}

/** The lease is held from the time that it was asked for. */
export function takeLeaseWritten(
  world: World,
  call: TableCall,
  revision: number,
): void {
  const lease = world.leases.get(call.rows[0] ?? "");
  if (lease?.phase !== LeasePhase.writing) return;
  lease.phase = LeasePhase.held;
  lease.revision = revision;
  count(world, "leases_taken");
}

/** Another was faster, or nobody knows: look again. */
export function takeLeaseFailed(
  world: World,
  call: TableCall,
  now: Milliseconds,
): void {
  const lease = world.leases.get(call.rows[0] ?? "");
  if (!lease || lease.phase === LeasePhase.held) return;
  if (lease.phase === LeasePhase.writing) read(world, lease, now);
}

/** Gives a lease back once its order is confirmed. */
export function returnLease(
  world: World,
  service: ServiceId,
  now: Milliseconds,
): void {
  const lease = world.leases.get(service);
  world.leases.delete(service);
  if (lease?.phase !== LeasePhase.held) return;
  const call = openCall(world, now, { purpose: "leaseReturn", rows: [] });
  const key = leaseKey(world, service);
  const change = { key, value: null, ifRevision: lease.revision };
  order(world, { type: "writeTable", call, changes: [change] });
}
