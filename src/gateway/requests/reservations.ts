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

/** Reserves memory at a replica. */
export async function acquireReservation(
  context: GatewayContext,
  replica: Replica,
  { timeoutMs, ...memory }: {
    readonly tokens: number;
    readonly maxMs: Milliseconds;
    readonly timeoutMs: Milliseconds;
  },
): Promise<Reservation | ReservationFailure> {
  const { clock, dialect, metrics } = context;
  const ttlMs = Math.min(RESERVATION_TTL_MS, memory.maxMs);
  const requestedAt = clock.now();
  const call = dialect.reserve(memory.tokens, ttlMs);
  context.gate.noteSend(replica.entry);
  const idOf = ({ status, body }: JsonAnswer) =>
    status === 200 ? dialect.readReservation(body) : undefined;
  const answer = await callEngine(context, replica.entry, {
    call,
    timeoutMs,
    check: { type: "newId", idOf },
  });
  const id = answer && idOf(answer);
  metrics.count(id === undefined ? "reservations_refused" : "reservations");
  if (!answer) replica.noteFailure(clock.now(), true);
  if (id === undefined) return answer ? "refused" : "noResponse";
  const expiresAt = requestedAt + ttlMs;
  return { replica, id, tokens: memory.tokens, expiresAt };
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
