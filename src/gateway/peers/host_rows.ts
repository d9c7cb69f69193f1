/**
 * Rows of the store by which hosts find each other. A host writes a row for
 * itself and those that follow it, so that the calls for it don't grow with the
 * number of hosts. The row also has what its writer knows of requests that crash
 * their replicas, for hosts that the store reaches and links don't.
 */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import {
  CrashesSchema,
  decodeCrashes,
  encodeCrashes,
} from "../crashes/crash_messages.ts";
import type { CrashNews } from "../crashes/model.ts";
import type { HostEntry, RowReading, Store } from "../port.ts";
import { HostEntrySchema } from "./host_schema.ts";

const TABLE = "otterhill-hosts";
/** A row that was not written for so long, in milliseconds, isn't believed. */
const ROW_LIFE_MS = 60_000;

const Row = z.object({
  hosts: z.array(HostEntrySchema).readonly(),
  /** The store's clock when it was written. */
  writtenMs: z.number(),
  /**
   * The store's era when it was written, if its writer had known that one for
   * long enough; absent: the store told none, or it had just come back.
   */
  era: z.number().exactOptional(),
  crashes: CrashesSchema.exactOptional(),
});
type Row = z.output<typeof Row>;

/** A row to be written. */
export type HostRow = {
  /** The host that writes. */
  readonly writer: string;
  /** The writer and those that follow it. */
  readonly hosts: readonly HostEntry[];
  readonly crashes: CrashNews;
  /** The store's era, if the writer has known it for long enough. */
  readonly era?: number | undefined;
};

/** What the rows say. */
export type HostReading = {
  /** The hosts that were named lately. */
  readonly hosts: readonly HostEntry[];
  /** What each writer knows of crashes. */
  readonly crashes: readonly CrashNews[];
  /**
   * An era that somebody has known for long enough: a writer, or all, where
   * nobody has written yet.
   */
  readonly settledEra: number | undefined;
};

/** What is read and written, and the present by this host's clock. */
export type HostRowCall = {
  readonly store: Store;
  readonly now: () => Milliseconds;
  readonly signal: AbortSignal;
};

/** Reads the rows. */
export async function readHosts(call: HostRowCall): Promise<HostReading> {
  const { store, signal, now } = call;
  return hostReading(await store.readRows(TABLE, signal), now());
}

/** Writes a row and gives what the rows said before. */
export async function exchangeRows(
  call: HostRowCall,
  { writer, hosts, crashes, era }: HostRow,
): Promise<HostReading> {
  const { store, signal, now } = call;
  const before = await store.readRows(TABLE, signal);
  const hasCrashes = crashes.records.length > 0;
  const value = JSON.stringify(
    {
      hosts,
      writtenMs: before.nowMs,
      ...(era === undefined ? {} : { era }),
      ...(hasCrashes ? { crashes: encodeCrashes(crashes, now()) } : {}),
    } satisfies Row,
  );
  await store.writeRow({ table: TABLE, key: writer, value }, signal);
  return hostReading(before, now());
}

function hostReading(reading: RowReading, now: Milliseconds): HostReading {
  const rows = liveRows(reading);
  const crashes = rows.flatMap((row) =>
    row.crashes
      ? [decodeCrashes(row.crashes, now, Math.max(0, ageOf(row, reading)))]
      : []
  );
  const isFirst = reading.rows.length === 0;
  const isSettled = isFirst || rows.some((one) => one.era === reading.era);
  return {
    hosts: liveHosts(reading),
    crashes,
    settledEra: isSettled ? reading.era : undefined,
  };
}

/**
 * The hosts of rows that are not too old by the store's own clock; where two
 * rows name a host, as the newer one has it.
 */
export function liveHosts(reading: RowReading): HostEntry[] {
  const hosts = new Map<string, HostEntry>();
  for (const row of liveRows(reading)) {
    for (const host of row.hosts) hosts.set(host.id, host);
  }
  return [...hosts.values()];
}

/** Rows that are not too old, the newest last. */
function liveRows(reading: RowReading): Row[] {
  return reading.rows
    .map((row) => readJson(Row, row.value))
    .filter((row) => row !== undefined)
    .filter((row) => Math.abs(ageOf(row, reading)) < ROW_LIFE_MS)
    .sort((a, b) => a.writtenMs - b.writtenMs);
}

/**
 * How long ago a row was written. Negative where the store's clock went back with
 * its rows: then the row is of an earlier era.
 */
function ageOf(row: Row, { nowMs }: RowReading): Milliseconds {
  return nowMs - row.writtenMs;
}
