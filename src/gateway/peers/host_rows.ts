/**
 * Rows of the store through which hosts discover each other. A host writes one
 * row for itself and its followers, so that the number of calls does not grow
 * with the number of hosts. The row also has the writer's records of requests
 * that crash replicas, for hosts that can reach the store but have no link, and
 * the software versions that it knows, for hosts that start later.
 */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import { readJson } from "../../util/read_json.ts";
import {
  CrashesSchema,
  decodeCrashes,
  encodeCrashes,
} from "../crashes/crash_messages.ts";
import type { CrashUpdate } from "../crashes/model.ts";
import type { HostEntry, RowReading, Store } from "../port.ts";
import {
  encodeReport,
  joinReports,
  type VersionReport,
  VersionReportSchema,
} from "../streams/version_report.ts";
import { HostEntriesSchema } from "./host_schema.ts";

const TABLE = "otterhill-hosts";
/** Age from which a row is ignored. */
const ROW_TTL_MS = 60_000;

const Row = z.object({
  hosts: HostEntriesSchema,
  /** Time of the write, by the store's clock. */
  writtenMs: z.number(),
  /**
   * The store's era at the time of the write. Absent if the store reports none,
   * or if the era is not settled at the writer yet.
   */
  era: z.number().optional().catch(undefined),
  // Parts that can't be read must not hide the hosts.
  crashes: CrashesSchema.optional().catch(undefined),
  versions: VersionReportSchema.optional().catch(undefined),
});
type Row = z.output<typeof Row>;

/** A row to write. */
export type HostRow = {
  readonly writer: string;
  /** The writer and its followers. */
  readonly hosts: readonly HostEntry[];
  readonly crashes: CrashUpdate;
  readonly versions: VersionReport;
  /** The store's era, if it is settled at the writer. */
  readonly era?: number | undefined;
};

/** Content of the rows. */
export type HostReading = {
  /** Hosts that are listed in a row that has not expired. */
  readonly hosts: readonly HostEntry[];
  /** Crash records of each writer. */
  readonly crashes: readonly CrashUpdate[];
  readonly versions: VersionReport;
  /**
   * The store's era, if it is settled at some writer or there are no rows yet.
   */
  readonly settledEra: number | undefined;
};

/** Parameters of a call that reads or writes rows. */
export type HostRowCall = {
  readonly store: Store;
  /** Reads this host's clock. */
  readonly now: () => Milliseconds;
  readonly signal: AbortSignal;
};

export async function readHosts(call: HostRowCall): Promise<HostReading> {
  const { store, signal, now } = call;
  return hostReading(await store.readRows(TABLE, signal), now());
}

/**
 * Reads all rows, then writes the one that `createRow` returns after it has
 * received what was read. It replaces the row that this host wrote before it
 * restarted, so it has to contain what is still needed of that.
 */
export async function exchangeRows(
  call: HostRowCall,
  createRow: (reading: HostReading) => HostRow,
): Promise<void> {
  const { store, signal, now } = call;
  const before = await store.readRows(TABLE, signal);
  const row = createRow(hostReading(before, now()));
  const { writer, hosts, crashes, versions, era } = row;
  const hasCrashes = crashes.records.length > 0;
  const value = JSON.stringify(
    {
      hosts,
      writtenMs: before.nowMs,
      ...(era === undefined ? {} : { era }),
      ...(hasCrashes ? { crashes: encodeCrashes(crashes, now()) } : {}),
      versions: encodeReport(versions),
    } satisfies Row,
  );
  await store.writeRow({ table: TABLE, key: writer, value }, signal);
}

function hostReading(reading: RowReading, now: Milliseconds): HostReading {
  const rows = liveRows(reading);
  const crashes = rows.flatMap((row) =>
    row.crashes
      ? [decodeCrashes(row.crashes, now, Math.max(0, ageOf(row, reading)))]
      : []
  );
  const isFirst = reading.rows.length === 0;
  const isSettled = isFirst || rows.some((row) => row.era === reading.era);
  return {
    hosts: liveHosts(reading),
    crashes,
    versions: joinReports(reading, ROW_TTL_MS),
    settledEra: isSettled ? reading.era : undefined,
  };
}

/**
 * The hosts of all rows that have not expired by the store's clock. If several
 * rows list a host, the newest row's entry is returned.
 */
export function liveHosts(reading: RowReading): HostEntry[] {
  const hosts = new Map<string, HostEntry>();
  for (const row of liveRows(reading)) {
    for (const host of row.hosts) hosts.set(host.id, host);
  }
  return [...hosts.values()];
}

/** Rows that have not expired, newest last. */
function liveRows(reading: RowReading): Row[] {
  return reading.rows
    .map((row) => readJson(Row, row.value))
    .filter((row) => row !== undefined)
    .filter((row) => Math.abs(ageOf(row, reading)) < ROW_TTL_MS)
    .sort((a, b) => a.writtenMs - b.writtenMs);
}

/**
 * Time since the row was written. Negative if the store was restored and its
 * clock went back: the row is then of an earlier era.
 */
function ageOf(row: Row, { nowMs }: RowReading): Milliseconds {
  return nowMs - row.writtenMs;
}
