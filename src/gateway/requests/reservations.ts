/** Reserves and releases memory at decode replicas. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import { isRestarted } from "../replicas/is_restarted.ts";
import type { Replica } from "../replicas/replica.ts";
import { callEngine } from "../upstreams/engine_call.ts";
import type { JsonAnswer } from "../upstreams/json_client.ts";

/** Requested lifetime of a reservation, unless the engine's limit is lower. */
const RESERVATION_TTL_MS = 2000;

/** Memory reserved at a replica. */
export type Reservation = {
  readonly replica: Replica;
  readonly id: string;
  readonly tokens: number;
  readonly expiresAt: Milliseconds;
};

/** Whether the replica refused the reservation or did not respond. */
export type ReservationFailure = "refused" | "noResponse";

/** A reservation that was requested. */
export type PendingReservation = {
  readonly replica: Replica;
  readonly result: Promise<Reservation | ReservationFailure>;
};

/** Reservations that expire sooner than this are not used. */
const EXPIRY_MARGIN_MS = 100;

/** Whether there is time to use a reservation before it expires. */
export function isUsable(
  { expiresAt }: Reservation,
  now: Milliseconds,
): boolean {
  return now <= expiresAt - EXPIRY_MARGIN_MS;
}

/** Requests memory at a replica, for as long as a response is of use. */
export function requestReservation(
  context: GatewayContext,
  replica: Replica,
  memory: { readonly tokens: number; readonly maxMs: Milliseconds },
): PendingReservation {
  return { replica, result: reserve(context, replica, memory) };
}

async function reserve(
  context: GatewayContext,
  replica: Replica,
  { tokens, maxMs }: { readonly tokens: number; readonly maxMs: Milliseconds },
): Promise<Reservation | ReservationFailure> {
  const { clock, dialect, metrics } = context;
  const ttlMs = Math.min(RESERVATION_TTL_MS, maxMs);
  const requestedAt = clock.now();
  const call = dialect.reserve(tokens, ttlMs);
  context.gate.noteSend(replica.entry);
  const idOf = ({ status, body }: JsonAnswer) =>
    status === 200 ? dialect.readReservation(body) : undefined;
  const answer = await callEngine(context, replica.entry, {
    call,
    timeoutMs: ttlMs,
    check: { type: "newId", idOf },
  });
  const id = answer && idOf(answer);
  metrics.count(id === undefined ? "reservations_refused" : "reservations");
  if (id === undefined) return answer ? "refused" : "noResponse";
  return { replica, id, tokens, expiresAt: requestedAt + ttlMs };
}

/**
 * Releases memory that no request will use. Nothing is left of it after a
 * restart, where the id may be that of another reservation.
 */
export function dropReservation(
  context: GatewayContext,
  reservation: Reservation,
): void {
  const { dialect, tuning, replicas } = context;
  if (isRestarted(replicas, reservation.replica.entry)) return;
  const call = dialect.dropReservation(reservation.id);
  const timeoutMs = tuning.reserveTimeoutMs;
  void callEngine(context, reservation.replica.entry, {
    call,
    timeoutMs,
    check: { type: "none" },
  });
}
