/**
 * The lease for ordering stage changes in one service: a row of the store that
 * is acquired by a conditional write. The row's revision is the fencing token.
 * A new holder acquires the lease one guard time or more after it expired by
 * the store's clock, so that the orders of two holders are at least that far
 * apart.
 *
 * A store that is restored from an older copy reuses revisions and may lack a
 * lease. The token therefore starts with the era, and no lease is acquired
 * until any lease that the copy lacks has expired.
 */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import type { Store, StoreRow } from "../port.ts";
import { positionOf } from "../position.ts";
import type { StoreEras } from "../state/store_eras.ts";

const TABLE = "otterhill-leases";
const LEASE_TTL_MS = 2500;

const LeaseRow = z.object({
  holder: z.string(),
  /** The store's clock when the lease was acquired. */
  takenMs: z.number(),
  /** The store's era at that time; absent if the store reported none. */
  era: z.number().exactOptional(),
});

/** A lease that this process holds. */
export type Lease = {
  readonly holder: string;
  readonly fence: number;
  /** The lease ends when the store's era changes. */
  readonly era: number;
  /** Expiry by this process's clock; no order is sent after it. */
  readonly until: Milliseconds;
};

/** Options of {@link acquireLease}. */
export type LeaseOptions = {
  readonly store: Store;
  readonly clock: Clock;
  readonly holder: string;
  /** Minimum time between the orders of two holders. */
  readonly guardMs: Milliseconds;
  readonly eras: Pick<StoreEras, "era" | "ageMs" | "observe">;
};

/** Acquires the lease of a service; undefined if another host may hold it. */
export async function acquireLease(
  options: LeaseOptions,
  service: string,
  signal: AbortSignal,
): Promise<Lease | undefined> {
  const { store, clock, holder, guardMs, eras } = options;
  const reading = await store.readRows(TABLE, signal);
  const era = Math.max(eras.era, reading.era ?? 0);
  eras.observe(positionOf(era, 0), clock.now());
  const row = reading.rows.find((candidate) => candidate.key === service);
  const eraAgeMs = eras.ageMs(clock.now());
  const requester = { holder, guardMs, nowMs: reading.nowMs, era, eraAgeMs };
  if (!isFree(row, requester)) return undefined;
  const requestedAt = clock.now();
  const written = await store.writeRow({
    table: TABLE,
    key: service,
    value: JSON.stringify(
      {
        holder,
        takenMs: reading.nowMs,
        ...(era > 0 ? { era } : {}),
      } satisfies z.input<typeof LeaseRow>,
    ),
    ifRevision: row?.revision ?? 0,
  }, signal);
  if (written.type === "conflict") return undefined;
  // After a change of era, the conditional write may have matched another row.
  if (written.era !== reading.era) return undefined;
  // The row contains the store's clock at the read, before the write. Other
  // hosts count from that time, so the lease ends earlier by the duration of
  // the write.
  const spentMs = clock.now() - requestedAt;
  const until = requestedAt + LEASE_TTL_MS - spentMs;
  return { holder, fence: positionOf(era, written.revision), era, until };
}

/** Whether the requester may acquire the lease in `row`. */
export function isFree(
  row: StoreRow | undefined,
  requester: {
    readonly holder: string;
    readonly guardMs: Milliseconds;
    readonly nowMs: Milliseconds;
    /** The store's era. */
    readonly era: number;
    /** How long the requester has known the era. */
    readonly eraAgeMs: Milliseconds;
  },
): boolean {
  const lease = row && readJson(LeaseRow, row.value);
  if (!lease || (lease.era ?? 0) !== requester.era) {
    return requester.eraAgeMs > LEASE_TTL_MS + requester.guardMs;
  }
  if (lease.holder === requester.holder) return true;
  const endsMs = lease.takenMs + LEASE_TTL_MS + requester.guardMs;
  return requester.nowMs > endsMs;
}
