/** Memory reserved at decode replicas: the replica's own answer decides. */
import type { Milliseconds } from "../../util/units.ts";
import type { GatewayContext } from "../context.ts";
import type { Replica } from "../replicas/replica.ts";
import { callEngine } from "../upstreams/engine_call.ts";

/** How long a reservation is asked for, unless the engine allows less. */
const LIFE_MS = 2000;

/** Memory that is reserved at a replica. */
export type Reservation = {
  readonly replica: Replica;
  readonly id: string;
  readonly tokens: number;
  readonly expiresAt: Milliseconds;
};

/** Why there is no reservation: the replica said so, or said nothing. */
export type NoReservation = "refused" | "silent";

/** Reserves memory at a replica. */
export async function takeReservation(
  context: GatewayContext,
  replica: Replica,
  memory: { readonly tokens: number; readonly mostMs: Milliseconds },
): Promise<Reservation | NoReservation> {
  const { clock, dialect, tuning, metrics } = context;
  const lifeMs = Math.min(LIFE_MS, memory.mostMs);
  const askedAt = clock.now();
  const call = dialect.reserve(memory.tokens, lifeMs);
  const timeoutMs = tuning.reserveTimeoutMs;
  context.gate.noteSend(replica.entry);
  const answer = await callEngine(context, replica.entry, { call, timeoutMs });
  const id = answer?.status === 200
    ? dialect.readReservation(answer.body)
    : undefined;
  metrics.count(id === undefined ? "reservations_refused" : "reservations");
  if (!answer) replica.noteFailure(clock.now(), true);
  if (id === undefined) return answer ? "refused" : "silent";
  const expiresAt = askedAt + lifeMs;
  return { replica, id, tokens: memory.tokens, expiresAt };
}

/** Lets go of memory that no request will use. */
export function dropReservation(
  context: GatewayContext,
  reservation: Reservation,
): void {
  const { dialect, tuning } = context;
  const call = dialect.dropReservation(reservation.id);
  const timeoutMs = tuning.reserveTimeoutMs;
  void callEngine(context, reservation.replica.entry, { call, timeoutMs });
}
