/** Encoding of replica entries in messages between hosts. */
import * as z from "zod";
import { arrayOf } from "../../util/array_of.ts";
import {
  incarnationOf,
  type ListingDelta,
  type ReplicaEntry,
  ReplicaStage,
} from "./model.ts";

const EntryMessage = z.object({
  /** The id: hosts without support for restarts expect it under this key. */
  incarnation: z.string(),
  born: z.number().exactOptional(),
  service: z.string(),
  address: z.string(),
  hall: z.string(),
  slots: z.number(),
  leaving: z.boolean(),
  stage: z.enum(ReplicaStage).exactOptional(),
  coldMs: z.number(),
  softwareVersion: z.string().exactOptional(),
});
/** A replica's entry on the wire. */
export type EntryMessage = z.output<typeof EntryMessage>;

/** Decodes a {@link ReplicaEntry}. */
export const ReplicaEntrySchema = EntryMessage.transform(decodeEntry);

function decodeEntry(
  { incarnation: id, ...entry }: EntryMessage,
): ReplicaEntry {
  return { ...entry, id, incarnation: incarnationOf(id, entry.born) };
}

/** Encodes an entry for other hosts. */
export function encodeEntry({ id, ...entry }: ReplicaEntry): EntryMessage {
  return { ...entry, incarnation: id };
}

/** Decodes a {@link ListingDelta}. */
export const ListingDeltaSchema = z.object({
  since: z.number(),
  revision: z.number(),
  changed: arrayOf(ReplicaEntrySchema),
  gone: arrayOf(z.string()),
  size: z.number(),
  digest: z.number().exactOptional(),
  isUnverified: z.literal(true).exactOptional(),
  buckets: arrayOf(z.number()).exactOptional(),
  comparedState: z.number().exactOptional(),
});

/** Decodes a {@link ListingComparison}. */
export const ListingComparisonSchema = z.object({
  digests: arrayOf(z.number()),
  state: z.number(),
});

/** Encodes a delta for other hosts. */
export function encodeDelta(
  delta: ListingDelta,
): z.input<typeof ListingDeltaSchema> {
  return { ...delta, changed: delta.changed.map(encodeEntry) };
}
