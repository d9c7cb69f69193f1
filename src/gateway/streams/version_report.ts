/**
 * What a host reports of the software versions of services to hosts that start
 * later. The report outlives the hosts in the store, so that a host knows which
 * versions served before it started even if all hosts ended at once.
 */
import * as z from "zod";
import { readJson } from "../../util/read_json.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Name } from "../name_schema.ts";
import type { RowReading } from "../port.ts";
import { MAX_RECORD_TTL_MS, type SoftwareVersion } from "./model.ts";

/** A row has a limited size; the versions seen last are reported. */
const MAX_VERSIONS = 200;

/** A version of a service. */
export type ReportedVersion = {
  readonly service: string;
  readonly softwareVersion: SoftwareVersion;
  /** Its replicas are listed, so it may be used at any time from now on. */
  readonly isListed: boolean;
  /** Time since it was last listed or used. */
  readonly seenAgoMs: Milliseconds;
};

/** The versions of all services that count at a host. */
export type VersionReport = {
  /** These are all; otherwise earlier ones may be missing. */
  readonly isCovered: boolean;
  readonly versions: readonly ReportedVersion[];
};

/** Schema of a report in a row. */
export const VersionReportSchema = z.object({
  isCovered: z.boolean(),
  versions: z.array(z.object({
    service: Name,
    /** Absent: the replica's entry names none. */
    softwareVersion: Name.exactOptional(),
    /** Absent: its replicas are listed. */
    seenAgoMs: z.number().min(0).exactOptional(),
  })).max(MAX_VERSIONS).readonly(),
});
/** A report as it is stored. */
export type VersionReportMessage = z.output<typeof VersionReportSchema>;

const ReportingRow = z.object({
  /** Time of the write, by the store's clock. */
  writtenMs: z.number(),
  versions: VersionReportSchema,
});

/** Encodes a report. */
export function encodeReport(
  { isCovered, versions }: VersionReport,
): VersionReportMessage {
  const latest = [...versions].sort((a, b) => a.seenAgoMs - b.seenAgoMs);
  return {
    isCovered: isCovered && versions.length <= MAX_VERSIONS,
    versions: latest.slice(0, MAX_VERSIONS).map((version) => ({
      service: version.service,
      ...(version.softwareVersion === undefined
        ? {}
        : { softwareVersion: version.softwareVersion }),
      ...(version.isListed ? {} : { seenAgoMs: Math.round(version.seenAgoMs) }),
    })),
  };
}

/** Identifies the content of a report, which changes with the listing only. */
export function contentOf({ isCovered, versions }: VersionReport): string {
  const lines = versions.map(({ service, softwareVersion, isListed }) =>
    JSON.stringify([service, softwareVersion, isListed])
  );
  return [`covered ${isCovered}`, ...lines.sort()].join();
}

/**
 * What the reports in all rows say together. Of several that name a version the
 * newest counts. A listed version may have been used until now, unless its row
 * is older than `liveMs`, the time after which its writer has ended.
 */
export function joinReports(
  { rows, nowMs }: RowReading,
  liveMs: Milliseconds,
): VersionReport {
  // Nothing has ever run before the first row was written.
  if (rows.length === 0) return { isCovered: true, versions: [] };
  const versions = new Map<string, ReportedVersion>();
  let isCovered = false;
  for (const { report, ageMs } of reportsOf({ rows, nowMs })) {
    isCovered ||= report.isCovered;
    for (const { service, softwareVersion, seenAgoMs } of report.versions) {
      const isListed = seenAgoMs === undefined;
      const sinceMs = isListed && ageMs < liveMs ? 0 : ageMs;
      versions.set(JSON.stringify([service, softwareVersion]), {
        service,
        softwareVersion,
        isListed,
        seenAgoMs: sinceMs + (seenAgoMs ?? 0),
      });
    }
  }
  return { isCovered, versions: [...versions.values()] };
}

/** The reports that may still count, oldest first. */
function reportsOf({ rows, nowMs }: RowReading): {
  readonly report: VersionReportMessage;
  readonly ageMs: Milliseconds;
}[] {
  return rows
    .map(({ value }) => readJson(ReportingRow, value))
    .filter((row) => row !== undefined)
    .map(({ versions, writtenMs }) => ({
      report: versions,
      // The clock of a restored store may have gone back.
      ageMs: Math.max(0, nowMs - writtenMs),
    }))
    .filter(({ ageMs }) => ageMs < MAX_RECORD_TTL_MS)
    .sort((a, b) => b.ageMs - a.ageMs);
}
