/** Rows of the store that tell which software versions began streams. */
import * as z from "zod";
import { sha256 } from "../../util/sha256.ts";
import { readJson } from "../../util/read_json.ts";
import type { Milliseconds } from "../../util/units.ts";
import { Name } from "../name_schema.ts";
import type { StoreRow } from "../port.ts";
import {
  MAX_RECORD_TTL_MS,
  type SoftwareVersion,
  type StreamKey,
} from "./model.ts";

/** The table of these rows. */
export const ARCHIVE_TABLE = "otterhill-streams";
/** Maximum number of streams in a row, which is written again with each change. */
export const MAX_ROW_STREAMS = 200;

/** Hex digits; enough that no two streams of a service share a digest. */
const DIGEST_CHARS = 16;

const ArchiveRow = z.object({
  service: Name,
  /** Time of the write, by the store's clock. */
  writtenMs: z.number(),
  versions: z.array(z.object({
    /** Absent: the replica's entry names none. */
    softwareVersion: Name.exactOptional(),
    /** Digests of streams, and for how long each may be resumed. */
    streams: z.array(
      z.tuple([
        z.string().max(DIGEST_CHARS),
        z.number().max(MAX_RECORD_TTL_MS),
      ]),
    ).max(MAX_ROW_STREAMS).readonly(),
  })).max(MAX_ROW_STREAMS).readonly(),
});

/** A stream whose first event its caller has received. */
export type ArchivedStream = {
  readonly digest: string;
  readonly softwareVersion: SoftwareVersion;
  readonly ttlMs: Milliseconds;
};

/** The streams of one service in a row. */
export type ArchivedStreams = {
  readonly service: string;
  readonly streams: readonly ArchivedStream[];
};

/** Identifies a stream in a row: ids are long, and clients choose them. */
export function digestOf({ service, id }: StreamKey): string {
  return sha256(`${service}\n${id}`).slice(0, DIGEST_CHARS);
}

/** Encodes a row that is written at `writtenMs`. */
export function encodeArchiveRow(
  { service, streams }: ArchivedStreams,
  writtenMs: Milliseconds,
): string {
  const versions = new Map<SoftwareVersion, [string, number][]>();
  for (const { digest, softwareVersion, ttlMs } of streams) {
    const ofVersion = versions.get(softwareVersion) ?? [];
    versions.set(softwareVersion, ofVersion);
    ofVersion.push([digest, Math.ceil(ttlMs)]);
  }
  return JSON.stringify(
    {
      service,
      writtenMs: Math.round(writtenMs),
      versions: [...versions].map(([softwareVersion, ofVersion]) => ({
        ...(softwareVersion === undefined ? {} : { softwareVersion }),
        streams: ofVersion,
      })),
    } satisfies z.input<typeof ArchiveRow>,
  );
}

/**
 * The streams of a row that may still be resumed at `nowMs` by the store's
 * clock; undefined if the row can't be read.
 */
export function decodeArchiveRow(
  { value }: Pick<StoreRow, "value">,
  nowMs: Milliseconds,
): ArchivedStreams | undefined {
  const row = readJson(ArchiveRow, value);
  if (!row) return undefined;
  // The clock of a restored store may have gone back.
  const ageMs = Math.max(0, nowMs - row.writtenMs);
  const streams = row.versions.flatMap(({ softwareVersion, streams }) =>
    streams.map(([digest, ttlMs]) => ({
      digest,
      softwareVersion,
      ttlMs: ttlMs - ageMs,
    }))
  );
  return {
    service: row.service,
    streams: streams.filter(({ ttlMs }) => ttlMs > 0),
  };
}
