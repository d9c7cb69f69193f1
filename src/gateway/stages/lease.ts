/**
 * The right to order changes of stage in one service: a row of the store,
 * taken under a condition. The row's revision is the fencing token. A new
 * holder takes it only a whole guard time after the last one's right has
 * ended, by the store's own clock, so that two holders never take turns.
 *
 * A store that comes back from an older copy gives revisions out again and may
 * lack a lease that was taken: the era goes before the revision in the token, and
 * until a lease could have ended that the copy lacks, none is taken.
 */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import type { Store, StoreRow } from "../port.ts";
import { positionOf } from "../position.ts";
import type { StoreEras } from "../state/store_eras.ts";

const TABLE = "otterhill-leases";
/** How long a lease gives the right to order. */
const LEASE_MS = 2500;

const Row = z.object({
  holder: z.string(),
  /** The store's clock when it was taken. */
  takenMs: z.number(),
  /** The store's era then; absent: it told none. */
  era: z.number().exactOptional(),
});

/** A lease that this process holds. */
export type Lease = {
  readonly holder: string;
  readonly fence: number;
  /** It ends with the store's era. */
  readonly era: number;
  /** By this process's clock; no order leaves after it. */
  readonly until: Milliseconds;
};

/** What taking a lease needs. */
export type LeaseSource = {
  readonly store: Store;
  readonly clock: Clock;
  readonly holder: string;
  /** Least time between the orders of two holders. */
  readonly guardMs: Milliseconds;
  readonly eras: Pick<StoreEras, "era" | "ageMs" | "hear">;
};

/** Takes the lease of a service; undefined while another's may stand. */
export async function takeLease(
  source: LeaseSource,
  service: string,
  signal: AbortSignal,
): Promise<Lease | undefined> {
  const { store, clock, holder, guardMs, eras } = source;
  const reading = await store.readRows(TABLE, signal);
  const era = Math.max(eras.era, reading.era ?? 0);
  eras.hear(positionOf(era, 0), clock.now());
  const row = reading.rows.find((one) => one.key === service);
  const eraAgeMs = eras.ageMs(clock.now());
  const asker = { holder, guardMs, nowMs: reading.nowMs, era, eraAgeMs };
  if (!isFree(row, asker)) return undefined;
  const askedAt = clock.now();
  const written = await store.writeRow({
    table: TABLE,
    key: service,
    value: JSON.stringify(
      {
        holder,
        takenMs: reading.nowMs,
        ...(era > 0 ? { era } : {}),
      } satisfies z.input<typeof Row>,
    ),
    ifRevision: row?.revision ?? 0,
  }, signal);
  if (written.type === "conflict") return undefined;
  // The row that the condition named may have been another's by then.
  if (written.era !== reading.era) return undefined;
  // The row tells the clock of the reading, which is earlier than the write:
  // what others wait for is counted from there, and so is our own right.
  const spentMs = clock.now() - askedAt;
  const until = askedAt + LEASE_MS - spentMs;
  return { holder, fence: positionOf(era, written.revision), era, until };
}

/** Whether the row gives way to `holder`. */
export function isFree(
  row: StoreRow | undefined,
  asker: {
    readonly holder: string;
    readonly guardMs: Milliseconds;
    readonly nowMs: Milliseconds;
    /** The store's era, and how long the asker has known it. */
    readonly era: number;
    readonly eraAgeMs: Milliseconds;
  },
): boolean {
  const read = row && readJson(Row, row.value);
  if (!read || (read.era ?? 0) !== asker.era) {
    return asker.eraAgeMs > LEASE_MS + asker.guardMs;
  }
  if (read.holder === asker.holder) return true;
  const endsMs = read.takenMs + LEASE_MS + asker.guardMs;
  return asker.nowMs > endsMs;
}
