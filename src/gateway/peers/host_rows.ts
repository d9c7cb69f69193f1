/**
 * Rows of the store by which hosts find each other. A host writes a row for
 * itself and those that follow it, so that the calls for it don't grow with the
 * number of hosts.
 */
import * as z from "zod";
import { readJson } from "../../util/read_json.ts";
import type { HostEntry, RowReading, Store } from "../port.ts";
import { HostEntrySchema } from "./host_schema.ts";

const TABLE = "otterhill-hosts";
/** A row that was not written for so long, in milliseconds, isn't believed. */
const ROW_LIFE_MS = 60_000;

const Row = z.object({
  hosts: z.array(HostEntrySchema),
  /** The store's clock when it was written. */
  writtenMs: z.number(),
});

/** A row to be written. */
export type HostRow = {
  /** The host that writes. */
  readonly writer: string;
  /** The writer and those that follow it. */
  readonly hosts: readonly HostEntry[];
};

/** The hosts that were named lately. */
export async function readHosts(
  store: Store,
  signal: AbortSignal,
): Promise<HostEntry[]> {
  return liveHosts(await store.readRows(TABLE, signal));
}

/** Writes a row and gives the hosts that were named lately. */
export async function exchangeRows(
  store: Store,
  { writer, hosts }: HostRow,
  signal: AbortSignal,
): Promise<HostEntry[]> {
  const before = await store.readRows(TABLE, signal);
  const value = JSON.stringify({ hosts, writtenMs: before.nowMs });
  await store.writeRow({ table: TABLE, key: writer, value }, signal);
  return liveHosts(before);
}

/**
 * The hosts of rows that are not too old by the store's own clock; where two
 * rows name a host, as the newer one has it.
 */
export function liveHosts(reading: RowReading): HostEntry[] {
  const rows = reading.rows
    .map((row) => readJson(Row, row.value))
    .filter((row) => row !== undefined)
    .filter((row) => reading.nowMs - row.writtenMs < ROW_LIFE_MS)
    .sort((a, b) => a.writtenMs - b.writtenMs);
  const hosts = new Map<string, HostEntry>();
  for (const row of rows) {
    for (const host of row.hosts) hosts.set(host.id, host);
  }
  return [...hosts.values()];
}
