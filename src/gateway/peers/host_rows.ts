/** Rows of the store by which hosts find each other. */
import * as z from "zod";
import type { Milliseconds } from "../../core/ids.ts";
import { readJson } from "../../util/read_json.ts";
import type { HostEntry, RowReading, Store } from "../port.ts";

const TABLE = "otterhill-hosts";
/** A row that was not written for so long is not believed. */
const ROW_LIFE_MS = 60_000;

const Row = z.object({
  id: z.string(),
  address: z.string(),
  hall: z.string(),
  /** The store's clock when it was written. */
  writtenMs: z.number(),
});

/** The hosts that wrote their rows lately. */
export async function readHosts(
  store: Store,
  signal: AbortSignal,
): Promise<HostEntry[]> {
  return liveHosts(await store.readRows(TABLE, signal));
}

/** Writes this host's row and gives the hosts that wrote theirs lately. */
export async function exchangeRows(
  store: Store,
  self: HostEntry,
  signal: AbortSignal,
): Promise<HostEntry[]> {
  const before = await store.readRows(TABLE, signal);
  const value = JSON.stringify({ ...self, writtenMs: before.nowMs });
  await store.writeRow({ table: TABLE, key: self.id, value }, signal);
  return liveHosts(before);
}

/** The hosts of rows that are not too old by the store's own clock. */
export function liveHosts(reading: RowReading): HostEntry[] {
  return reading.rows
    .map((row) => readJson(Row, row.value))
    .filter((row) => row !== undefined)
    .filter((row) => isFresh(row.writtenMs, reading.nowMs))
    .map(({ id, address, hall }) => ({ id, address, hall }));
}

function isFresh(writtenMs: Milliseconds, nowMs: Milliseconds): boolean {
  return nowMs - writtenMs < ROW_LIFE_MS;
}
