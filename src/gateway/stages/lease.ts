/**
 * The right to order changes of stage in one service: a row of the store,
 * taken under a condition. The row's revision is the fencing token. A new
 * holder takes it only a whole guard time after the last one's right has
 * ended, by the store's own clock, so that two holders never take turns.
 */
import * as z from "zod";
import type { Milliseconds } from "../../core/ids.ts";
import { readJson } from "../../util/read_json.ts";
import type { Clock } from "../clock.ts";
import type { Store, StoreRow } from "../port.ts";

const TABLE = "otterhill-leases";
/** How long a lease gives the right to order. */
const LEASE_MS = 2500;

const Row = z.object({
  holder: z.string(),
  /** The store's clock when it was taken. */
  takenMs: z.number(),
});

/** A lease that this process holds. */
export type Lease = {
  readonly holder: string;
  readonly fence: number;
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
};

/** Takes the lease of a service; undefined while another's may stand. */
export async function takeLease(
  source: LeaseSource,
  service: string,
  signal: AbortSignal,
): Promise<Lease | undefined> {
  const { store, clock, holder, guardMs } = source;
  const reading = await store.readRows(TABLE, signal);
  const row = reading.rows.find((one) => one.key === service);
  if (!isFree(row, { holder, guardMs, nowMs: reading.nowMs })) return undefined;
  const askedAt = clock.now();
  const written = await store.writeRow({
    table: TABLE,
    key: service,
    value: JSON.stringify({ holder, takenMs: reading.nowMs }),
    ifRevision: row?.revision ?? 0,
  }, signal);
  if (written.type === "conflict") return undefined;
  // The row tells the clock of the reading, which is earlier than the write:
  // what others wait for is counted from there, and so is our own right.
  const spentMs = clock.now() - askedAt;
  const until = askedAt + LEASE_MS - spentMs;
  return { holder, fence: written.revision, until };
}

/** Whether the row gives way to `holder`. */
export function isFree(
  row: StoreRow | undefined,
  asker: {
    readonly holder: string;
    readonly guardMs: Milliseconds;
    readonly nowMs: Milliseconds;
  },
): boolean {
  if (!row) return true;
  const read = readJson(Row, row.value);
  if (!read) return true;
  if (read.holder === asker.holder) return true;
  const endsMs = read.takenMs + LEASE_MS + asker.guardMs;
  return asker.nowMs > endsMs;
}
