/** Messages in which hosts keep and look up each other's stream records. */
import * as z from "zod";
import type { Milliseconds } from "../../util/units.ts";
import { Name } from "../name_schema.ts";
import {
  MAX_RECORD_TTL_MS,
  MAX_STREAM_ID_CHARS,
  type SoftwareVersion,
  type StreamRecord,
} from "./model.ts";
import type { VersionState } from "./version_history.ts";

/** Path of these messages on a host's peer address. */
export const KEEPER_PATH = "/streams";
/** Maximum number of records in one message. */
export const MAX_BATCH_RECORDS = 500;

const StreamId = z.string().min(1).max(MAX_STREAM_ID_CHARS);

const RecordMessage = z.object({
  service: Name,
  id: StreamId,
  /** Absent: the replica's entry names none. */
  softwareVersion: Name.exactOptional(),
  /** Increases with each record of the message's origin. */
  order: z.number().int().min(0),
  /** Remaining time; a duration, since hosts' clocks are not synchronized. */
  ttlMs: z.number().min(0).max(MAX_RECORD_TTL_MS),
});

const KeepRequest = z.object({
  type: z.literal("keep"),
  /** The run of the host that made the records. */
  origin: Name,
  records: z.array(RecordMessage).max(MAX_BATCH_RECORDS).readonly(),
  /** The records are to be written to the store, too. */
  isArchived: z.boolean().exactOptional(),
});
const AskRequest = z.object({
  type: z.literal("ask"),
  service: Name,
  id: StreamId,
});
/** Schema of {@link KeeperRequest}. */
export const KeeperRequestSchema = z.discriminatedUnion("type", [
  KeepRequest,
  AskRequest,
]);
/** A request to keep records, or for the record of a stream. */
export type KeeperRequest = z.output<typeof KeeperRequestSchema>;

/** Schema of {@link AskResponse}. */
export const AskResponseSchema = z.discriminatedUnion("type", [
  z.object({
    type: z.literal("known"),
    softwareVersion: Name.exactOptional(),
    origin: Name,
    order: z.number(),
  }),
  z.object({
    type: z.literal("unknown"),
    /** Versions of the service that count at this host; null: none named. */
    versions: z.array(Name.nullable()).readonly(),
    /** How long this host has known several; absent: it doesn't. */
    mixedForMs: z.number().min(0).exactOptional(),
    /**
     * Whether these are all versions of the time in which streams may be
     * resumed. Absent: a build that doesn't tell.
     */
    isCovered: z.boolean().exactOptional(),
    /**
     * Whether this host has run for a whole window before the service had several
     * versions, so that it has the records that it was sent. Absent: a build that
     * doesn't tell.
     */
    hasRunBefore: z.boolean().exactOptional(),
  }),
]);
/** What a host knows of a stream, or of its service's versions. */
export type AskResponse = z.output<typeof AskResponseSchema>;

/** Records of one origin. */
export type RecordBatch = {
  readonly origin: string;
  readonly records: readonly StreamRecord[];
  /** Whether the host that receives them writes them to the store, too. */
  readonly isArchived?: boolean;
};

/** Encodes records of one origin. */
export function encodeRecords(
  { origin, records, isArchived = false }: RecordBatch,
  now: Milliseconds,
): KeeperRequest {
  return {
    type: "keep",
    origin,
    ...(isArchived ? { isArchived } : {}),
    records: records.map(({ stream, softwareVersion, order, expiresAt }) => ({
      ...stream,
      ...(softwareVersion === undefined ? {} : { softwareVersion }),
      order,
      ttlMs: Math.max(0, Math.ceil(expiresAt - now)),
    })),
  };
}

/** Decodes records, with times by this host's clock. */
export function decodeRecords(
  { origin, records }: Extract<KeeperRequest, { type: "keep" }>,
  now: Milliseconds,
): StreamRecord[] {
  return records.map(({ service, id, softwareVersion, order, ttlMs }) => ({
    stream: { service, id },
    softwareVersion,
    origin,
    order,
    expiresAt: now + ttlMs,
  }));
}

/** What a host knows of the versions of a service. */
export type KnownVersions = {
  readonly versions: readonly SoftwareVersion[];
  readonly state: VersionState;
  /** As in {@link AskResponse}. */
  readonly isCovered: boolean;
  /** As in {@link AskResponse}. */
  readonly hasRunBefore: boolean;
};

/** Encodes a response without a record. */
export function encodeVersions(
  { versions, state, isCovered, hasRunBefore }: KnownVersions,
): AskResponse {
  return {
    type: "unknown",
    versions: versions.map((version) => version ?? null),
    isCovered,
    hasRunBefore,
    ...(state.type === "mixed" ? { mixedForMs: Math.round(state.forMs) } : {}),
  };
}

/** Encodes a record as a response. */
export function encodeKnown(
  { softwareVersion, origin, order }: StreamRecord,
): AskResponse {
  return {
    type: "known",
    ...(softwareVersion === undefined ? {} : { softwareVersion }),
    origin,
    order,
  };
}
